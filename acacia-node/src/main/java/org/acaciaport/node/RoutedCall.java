package org.acaciaport.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * One call to the log, on the routes that are known to work best while it is in progress. The first answer counts.
 *
 * <p>The call goes on to the next route when one fails, is overdue, or is found by another call to have failed, and to
 * the direct route as soon as that is found to work. So a route that falls silent holds it up only until something is
 * known of the routes. An attempt that is left behind ends by its own timeout. A call that must not be repeated is made
 * on one route at a time, and on no other once an attempt may have had an effect.
 *
 * <p>Confined to the thread that calls {@link #run}; attempts run on threads of their own.
 */
final class RoutedCall<T> {
    private static final Logger LOG = Logger.getLogger(RoutedCall.class);

    /** Longest time between two looks at the routes, in milliseconds. */
    private static final long MAX_TICK_MILLIS = 1_000;

    private final LogCall<T> call;
    private final long deadline;
    private final Environment<T> environment;
    private final Supplier<List<Route>> routes;
    private final Deque<Route> remaining = new ArrayDeque<>();
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    private final List<Attempt> inProgress = new ArrayList<>();

    private final StringJoiner reasons = new StringJoiner("; ");
    private boolean mayHaveHadEffect;

    /** Whether the direct route has been found to work since the call was last made there. */
    private boolean directWorks;

    /**
     * What a call needs of its surroundings.
     *
     * @param attempt makes the call on one route; returns null if there was no usable answer
     * @param changes tells what other calls find out
     * @param probe probes the direct route in the background if it fails and a probe is due
     * @param probeDelayMillis returns the time until the next probe is due, in milliseconds
     */
    record Environment<T>(
            Function<Route, T> attempt, RouteChanges changes, Runnable probe, LongSupplier probeDelayMillis) {}

    /**
     * The result of a call.
     *
     * @param answer the answer of the log; null if there was none
     * @param mayHaveHadEffect whether an attempt without an answer may have had an effect
     * @param reasons why the attempts had no answer
     */
    record Result<T>(T answer, boolean mayHaveHadEffect, String reasons) {}

    /** The call on one route; mutable. */
    private static final class Attempt {
        final Route route;

        /** By when the attempt must have ended, on the monotonic clock, in nanoseconds. */
        final long endNanos;

        /** Whether the route has been found to fail since the attempt began. */
        boolean failed;

        Attempt(Route route, long endNanos) {
            this.route = route;
            this.endNanos = endNanos;
        }

        /** Returns whether the attempt is likely to be answered. */
        boolean isHopeful() {
            return !failed && Clocks.millisUntil(endNanos) > 0;
        }

        @Override
        public String toString() {
            return route.toString();
        }
    }

    private sealed interface Event {
        /** An attempt has ended; {@code outcome} is null if there was no usable answer. */
        record Ended(Attempt attempt, Object outcome) implements Event {}

        /** Another call, or an attempt of this one, has found out something. */
        record Changed(RouteChanges.Change change) implements Event {}
    }

    /**
     * Creates a call.
     *
     * @param routes returns the routes to try, in order
     */
    RoutedCall(LogCall<T> call, Supplier<List<Route>> routes, long deadline, Environment<T> environment) {
        this.call = call;
        this.deadline = deadline;
        this.environment = environment;
        this.routes = routes;
        reasons.setEmptyValue("the direct route failed recently and there is no peer");
    }

    /** Makes the call, until there is an answer, no route is left, or the deadline has passed. */
    Result<T> run() {
        Consumer<RouteChanges.Change> listener = change -> events.add(new Event.Changed(change));
        environment.changes().add(listener);
        try {
            remaining.addAll(routes.get());
            startNext();
            environment.probe().run();
            while (!inProgress.isEmpty() && Clocks.millisUntil(deadline) > 0) {
                Event event = events.poll(tickMillis(), TimeUnit.MILLISECONDS);
                T answer = handle(event);
                if (answer != null) {
                    return new Result<>(answer, mayHaveHadEffect, reasons.toString());
                }
                environment.probe().run();
                useDirectRoute();
                leaveSilentRoutes();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            reasons.add("interrupted");
        } finally {
            environment.changes().remove(listener);
        }
        mayHaveHadEffect |= !inProgress.isEmpty();
        inProgress.forEach(attempt -> reasons.add(attempt + ": no reply in time"));
        return new Result<>(null, mayHaveHadEffect, reasons.toString());
    }

    /** Returns the answer if {@code event} is one; null otherwise. */
    private T handle(Event event) {
        return switch (event) {
            case null -> null;
            case Event.Ended(Attempt attempt, Object outcome) -> handleEnd(attempt, cast(outcome));
            case Event.Changed(RouteChanges.Change change) -> {
                handleChange(change);
                yield null;
            }
        };
    }

    @SuppressWarnings("unchecked") // Only start() adds outcomes, and these are of the type of the call.
    private T cast(Object outcome) {
        return (T) outcome;
    }

    private T handleEnd(Attempt attempt, T outcome) {
        inProgress.remove(attempt);
        if (call.isAnswer(outcome)) {
            return outcome;
        }
        mayHaveHadEffect |= !call.hadNoEffect(outcome);
        reasons.add(attempt + ": " + LogCall.reasonOf(outcome));
        if (inProgress.isEmpty()) {
            startNext();
        }
        return null;
    }

    private void handleChange(RouteChanges.Change change) {
        directWorks = change.route().isDirect() ? change.works() : directWorks;
        for (Attempt attempt : inProgress) {
            attempt.failed |= !change.works() && attempt.route.equals(change.route());
        }
    }

    /** Goes on to the direct route if that has been found to work since the call was last made there. */
    private void useDirectRoute() {
        boolean inUse = inProgress.stream().anyMatch(attempt -> attempt.route.isDirect() && attempt.isHopeful());
        if (directWorks && !inUse && mayStartAnother()) {
            LOG.infof("dependency: log way=direct outcome=rerouted from=%s", inProgress);
            remaining.remove(Route.DIRECT);
            start(Route.DIRECT);
        }
    }

    /** Starts the next attempt if none in progress is likely to be answered. */
    private void leaveSilentRoutes() {
        if (inProgress.stream().noneMatch(Attempt::isHopeful)) {
            startNext();
        }
    }

    private boolean mayStartAnother() {
        return call.repeatable() || inProgress.isEmpty() && !mayHaveHadEffect;
    }

    private void startNext() {
        if (!remaining.isEmpty() && mayStartAnother() && Clocks.millisUntil(deadline) > 0) {
            start(remaining.remove());
        }
    }

    private void start(Route route) {
        directWorks &= !route.isDirect();
        Attempt attempt = new Attempt(route, Clocks.deadlineAfter(call.timeoutMillis(route, deadline)));
        inProgress.add(attempt);
        Thread.ofVirtual().name("log-call").start(() -> {
            T outcome = null;
            try {
                outcome = environment.attempt().apply(route);
            } finally {
                events.add(new Event.Ended(attempt, outcome));
            }
        });
    }

    /** Returns how long to wait for an event: until the next attempt is overdue or the next probe is due. */
    private long tickMillis() {
        long tick = Math.min(MAX_TICK_MILLIS, Clocks.millisUntil(deadline));
        tick = Math.min(tick, environment.probeDelayMillis().getAsLong());
        if (remaining.isEmpty()) {
            return Math.max(1, tick);
        }
        for (Attempt attempt : inProgress) {
            long left = Clocks.millisUntil(attempt.endNanos);
            if (left > 0) {
                tick = Math.min(tick, left);
            }
        }
        return Math.max(1, tick);
    }
}
