package org.acaciaport.request;

/**
 * The output of one member of a request.
 *
 * <p>Immutable.
 *
 * @param member index of the member within the gang, from 0
 * @param target identifier of the target that ran it
 * @param output the complete output of the member
 */
public record MemberAnswer(int member, String target, String output) {}
