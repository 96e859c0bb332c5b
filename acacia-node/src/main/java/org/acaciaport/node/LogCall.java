package org.acaciaport.node;

import java.util.function.Function;
import java.util.function.Predicate;
import org.acaciaport.wire.Message;

/**
 * A call of the log that can be made directly or through a peer.
 *
 * <p>Thread-safe if its functions are. An instance can be made on several routes, one after the other.
 *
 * @param timeouts the timeouts of this kind of call
 * @param waitMillis how long the log may hold back the answer or the call may be in transfer, in milliseconds
 * @param direct makes the direct call, given its deadline
 * @param query the message to a peer
 * @param read extracts the outcome from a peer's reply; returns null for a reply of another type
 * @param answered whether an outcome shows that the log answered
 */
record LogCall<T>(
        RouteTimeouts timeouts,
        long waitMillis,
        Function<Long, T> direct,
        Message query,
        Function<Message, T> read,
        Predicate<T> answered) {
    /** Returns whether {@code outcome} shows that the log answered; null if there was no usable reply. */
    boolean isAnswer(T outcome) {
        return outcome != null && answered.test(outcome);
    }
}
