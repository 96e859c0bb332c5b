package org.acaciaport.request;

import org.acaciaport.config.Profile;

/**
 * One accepted request.
 *
 * <p>Immutable. The profile is the one in force when the request was accepted; later revisions do not change it.
 *
 * @param id unique over all data centres and times
 * @param account name of the client account
 * @param key idempotency key, unique within the account
 * @param profile the profile it runs under
 * @param payload opaque input for the targets
 * @param acceptedAt when it was accepted, in milliseconds of the deciding scheduler's clock
 * @param queueDeadline when it is answered as not run unless started, same clock
 */
public record Request(
        String id, String account, String key, Profile profile, String payload, long acceptedAt, long queueDeadline) {}
