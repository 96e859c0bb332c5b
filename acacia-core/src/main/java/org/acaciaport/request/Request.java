package org.acaciaport.request;

import org.acaciaport.config.Profile;

/**
 * One accepted request.
 *
 * <p>Immutable. The profile is the one in force when the request was accepted; later revisions do not change it.
 *
 * @param id identifier, unique across all data centres and never reused
 * @param account name of the client account
 * @param key idempotency key, unique within the account
 * @param profile the profile that applies to it
 * @param payload opaque input for the tasks
 * @param acceptedAt time of acceptance, in milliseconds on the clock of the scheduler that accepted it
 * @param queueDeadline time at which it is answered as not run unless it has started, on the same clock
 */
public record Request(
        String id, String account, String key, Profile profile, String payload, long acceptedAt, long queueDeadline) {}
