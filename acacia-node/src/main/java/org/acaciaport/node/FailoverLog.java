package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.acaciaport.failure.Failures;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireException;
import org.acaciaport.wire.WireServer;
import org.jboss.logging.Logger;

/**
 * A client of the shared log that fails over to relaying peers while the log does not serve this node directly. It also
 * relays the calls of peers.
 *
 * <p>Thread-safe. A relayed call is never relayed again. A call leaves a route that is found to fail for one that is
 * found to work; see {@link RoutedCall}. An append is retried on another route only if it had no effect
 * on the first or a repetition is harmless. Once an attempt has had no answer, the outcome is never
 * {@link AppendOutcome.Refused}. A route that throws counts as one without an answer.
 */
public final class FailoverLog implements KeyedLog, WireServer.Handler {
    private static final Logger LOG = Logger.getLogger(FailoverLog.class);

    /** Time without an answer from the log or a peer after which this node counts as isolated, in milliseconds. */
    private static final long ISOLATION_TIMEOUT_MILLIS = 1_000;

    private final KeyedLog direct;
    private final LogCalls calls;
    private final Peers peers;
    private volatile boolean directFails;
    private volatile boolean reachable = true;
    private final RouteProbes probes = new RouteProbes();
    private final RouteChanges changes = new RouteChanges();

    /** When the direct route last answered, on the monotonic clock, in nanoseconds. */
    private long lastDirectAnswerNanos = System.nanoTime();

    /** When the direct route was last found to fail, on the same clock. */
    private long lastDirectFailureNanos = System.nanoTime();

    /** When a peer or the log last answered, on the monotonic clock, in nanoseconds. */
    private volatile long lastContactNanos = System.nanoTime();

    FailoverLog(KeyedLog direct, Peers peers) {
        this.direct = new GuardedLog(direct);
        calls = new LogCalls(this.direct);
        this.peers = peers;
    }

    /**
     * Returns whether the latest call reached the log on some route. Also false between the first failure of the direct
     * route and the first successful relayed call.
     */
    boolean isReachable() {
        return reachable;
    }

    /** Returns whether neither the log nor a peer has answered recently, so probably only this node is partitioned. */
    boolean isIsolated() {
        return !reachable && Clocks.millisUntil(lastContactNanos) < -ISOLATION_TIMEOUT_MILLIS;
    }

    /** Returns the routes of a read in the order to try; peers while the direct route fails. */
    private List<Route> readRoutes() {
        List<Route> routes = new ArrayList<>();
        if (!directFails) {
            routes.add(Route.DIRECT);
        }
        peers.candidates().forEach(peer -> routes.add(new Route(peer)));
        if (routes.isEmpty() && probes.isDue()) {
            probes.postpone();
            routes.add(Route.DIRECT);
        }
        return routes;
    }

    /** Returns the routes of an append in order; since callers wait for it, a failing direct route comes last. */
    private List<Route> appendRoutes() {
        List<Route> routes = new ArrayList<>();
        peers.candidates().forEach(peer -> routes.add(new Route(peer)));
        routes.add(directFails ? routes.size() : 0, Route.DIRECT);
        return routes;
    }

    /** Makes one call on one route; returns null if there was no usable answer in time. */
    private <T> T call(Route route, long deadline, LogCall<T> call) {
        AdaptiveTimeout timeout = call.timeout(route);
        long waitMillis = call.waitMillis(route);
        long timeoutMillis = call.timeoutMillis(route, deadline);
        long startNanos = System.nanoTime();
        T outcome = route.isDirect()
                ? call.direct().apply(Clocks.deadlineAfter(timeoutMillis))
                : askPeer(route.peer(), call, timeoutMillis);
        boolean answered = call.isAnswer(outcome);
        double durationMillis = (double) (System.nanoTime() - startNanos) / Clocks.NANOS_PER_MILLI;
        if (answered && waitMillis == 0 && durationMillis < timeout.currentMillis()) {
            timeout.recordAnswer(durationMillis);
        } else if (durationMillis >= waitMillis + timeout.currentMillis()) {
            timeout.recordTimeout();
        }
        if (answered) {
            lastContactNanos = System.nanoTime();
        }
        if (route.isDirect()) {
            recordDirect(answered, startNanos);
        } else if (!answered) {
            peers.recordFailure(route.peer());
            changes.publish(route, false);
        }
        return outcome;
    }

    /**
     * Records whether a call on the direct route that began at {@code startNanos} was answered. A call that began
     * before the route was last found to work, or to fail, tells nothing new of it.
     */
    private synchronized void recordDirect(boolean answered, long startNanos) {
        if (answered && directFails && startNanos - lastDirectFailureNanos < 0) {
            setReachable(true);
            return;
        }
        if (!answered && startNanos - lastDirectAnswerNanos < 0) {
            return;
        }
        if (answered) {
            lastDirectAnswerNanos = System.nanoTime();
        } else {
            lastDirectFailureNanos = System.nanoTime();
        }
        // A failed probe of the direct route does not make the log unreachable while relaying works.
        boolean relayed = directFails && reachable;
        setDirectAnswers(answered);
        setReachable(answered || relayed);
    }

    /**
     * Sends a query that is no call of the log to one peer and returns the reply.
     *
     * @throws WireException if no reply came in time
     */
    Message ask(String peer, Message query, long timeoutMillis) throws WireException {
        return peers.send(peer, query, timeoutMillis);
    }

    private <T> T askPeer(String peer, LogCall<T> call, long timeoutMillis) {
        try {
            Message reply = peers.ask(peer, call.query(), timeoutMillis);
            lastContactNanos = System.nanoTime();
            return call.read().apply(reply);
        } catch (WireException | RuntimeException e) {
            LOG.debugf("dependency: peer=%s outcome=unavailable reason=%s", peer, Failures.reasonOf(e));
            return null;
        }
    }

    private void setDirectAnswers(boolean answered) {
        if (answered == directFails) {
            directFails = !answered;
            probes.postpone();
            LOG.infof("dependency: log way=direct outcome=%s", answered ? "regained" : "lost");
            changes.publish(Route.DIRECT, answered);
        }
    }

    private void setReachable(boolean value) {
        if (reachable != value) {
            reachable = value;
            LOG.infof("dependency: log way=any outcome=%s", value ? "regained" : "lost");
        }
    }

    @Override
    public AppendOutcome append(Append append, long deadline) {
        if (Clocks.millisUntil(deadline) <= 0) {
            return new AppendOutcome.Refused("no time left");
        }
        LogCall<AppendOutcome> call = calls.append(append);
        Runnable probe = () -> call(Route.DIRECT, deadline, calls.probe(append.topic()));
        RoutedCall.Result<AppendOutcome> result =
                run(call, this::appendRoutes, deadline, environment(route -> call(route, deadline, call), probe));
        if (result.answer() != null) {
            return result.answer();
        }
        return result.mayHaveHadEffect()
                ? new AppendOutcome.Unknown(result.reasons())
                : new AppendOutcome.Refused(result.reasons());
    }

    @Override
    public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        Runnable probe = () -> call(Route.DIRECT, deadline, calls.read(topic, from, 0));
        RoutedCall.Result<ReadOutcome> result = read(calls.read(topic, from, waitMillis), probe, deadline);
        return result.answer() != null ? result.answer() : new ReadOutcome.Unavailable(result.reasons());
    }

    @Override
    public NewestOutcome newest(String topic, String after, long deadline) {
        Runnable probe = () -> call(Route.DIRECT, deadline, calls.probe(topic));
        RoutedCall.Result<NewestOutcome> result = read(calls.newest(topic, after), probe, deadline);
        return result.answer() != null ? result.answer() : new NewestOutcome.Unavailable(result.reasons());
    }

    private <T> RoutedCall.Result<T> read(LogCall<T> call, Runnable probe, long deadline) {
        return run(
                call, this::readRoutes, deadline, environment(route -> attempt(route, deadline, call, probe), probe));
    }

    /**
     * Returns an environment in which the direct route is probed while it fails.
     *
     * @param attempt makes the call on one route
     * @param probe makes a short call on the direct route
     */
    private <T> RoutedCall.Environment<T> environment(Function<Route, T> attempt, Runnable probe) {
        return new RoutedCall.Environment<>(
                attempt, changes, () -> probeIfDue(probe), () -> directFails ? probes.delayMillis() : Long.MAX_VALUE);
    }

    private <T> RoutedCall.Result<T> run(
            LogCall<T> call, Supplier<List<Route>> routes, long deadline, RoutedCall.Environment<T> environment) {
        RoutedCall.Result<T> result = new RoutedCall<>(call, routes, deadline, environment).run();
        setReachable(result.answer() != null);
        return result;
    }

    /** Makes a call on one route; a direct one that fails is followed by a probe at once. */
    private <T> T attempt(Route route, long deadline, LogCall<T> call, Runnable probe) {
        T outcome = call(route, deadline, call);
        if (route.isDirect() && !call.isAnswer(outcome)) {
            probes.start(probe);
        }
        return outcome;
    }

    private void probeIfDue(Runnable probe) {
        if (directFails && probes.isDue()) {
            probes.start(probe);
        }
    }

    /** Relays the call of a peer, on the direct route only. */
    @Override
    public Message answer(Message query, long deadline) {
        return switch (query) {
            case Message.AppendLog call -> new Message.LogAppended(direct.append(call.append(), deadline));
            case Message.ReadLog call ->
                new Message.LogRead(direct.read(call.topic(), call.from(), call.waitMillis(), deadline));
            case Message.ReadNewest call -> new Message.NewestRead(direct.newest(call.topic(), call.after(), deadline));
            default -> new Message.Pong();
        };
    }
}
