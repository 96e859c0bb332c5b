package org.acaciaport.request;

/**
 * What one member of a request's work returned.
 *
 * <p>Immutable.
 *
 * @param member index within the gang, from 0
 * @param target identifier of the target that ran it
 * @param output the member's whole output
 */
public record MemberAnswer(int member, String target, String output) {}
