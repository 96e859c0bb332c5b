package org.acaciaport.node;

import java.util.function.Function;
import java.util.function.Predicate;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.wire.Message;

/**
 * A call of the log that can be made directly or through a peer.
 *
 * <p>Thread-safe if its functions are. An instance can be made on several routes, one after the other.
 *
 * @param timeouts the timeouts of this kind of call
 * @param waitMillis how long the log may hold back the answer or the call may be in transfer, in milliseconds
 * @param relayedWaitMillis the same through a peer
 * @param direct makes the direct call, given its deadline
 * @param query the message to a peer
 * @param read extracts the outcome from a peer's reply; returns null for a reply of another type
 * @param answered whether an outcome shows that the log answered
 * @param harmless whether an outcome that is no answer shows that the call had no effect
 * @param repeatable whether the call may be made again though an attempt may have had an effect
 */
record LogCall<T>(
        RouteTimeouts timeouts,
        long waitMillis,
        long relayedWaitMillis,
        Function<Long, T> direct,
        Message query,
        Function<Message, T> read,
        Predicate<T> answered,
        Predicate<T> harmless,
        boolean repeatable) {
    /** Returns whether {@code outcome} shows that the log answered; null if there was no usable reply. */
    boolean isAnswer(T outcome) {
        return outcome != null && answered.test(outcome);
    }

    /** Returns whether {@code outcome}, which is no answer, shows that the call had no effect. */
    boolean hadNoEffect(T outcome) {
        return outcome != null && harmless.test(outcome);
    }

    /** Returns how long the log may hold back the answer on {@code route}, in milliseconds. */
    long waitMillis(Route route) {
        return route.isDirect() ? waitMillis : relayedWaitMillis;
    }

    /** Returns the timeout on {@code route}, beyond the wait. */
    AdaptiveTimeout timeout(Route route) {
        return route.isDirect() ? timeouts.direct() : timeouts.peer();
    }

    /** Returns how long an attempt on {@code route} may take, in milliseconds. */
    long timeoutMillis(Route route, long deadline) {
        long timeoutMillis = waitMillis(route) + timeout(route).currentMillis();
        return Math.max(1, Math.min(timeoutMillis, Clocks.millisUntil(deadline)));
    }

    /** Returns in words why {@code outcome} is no answer. */
    static String reasonOf(Object outcome) {
        return switch (outcome) {
            case null -> "no reply";
            case ReadOutcome.Unavailable unavailable -> unavailable.reason();
            case NewestOutcome.Unavailable unavailable -> unavailable.reason();
            default -> outcome.toString();
        };
    }
}
