package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import java.util.function.Function;
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
 * <p>Thread-safe. A relayed call is never relayed again. An append is retried on another route only if it had no effect
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

    /** When a peer or the log last answered, on the monotonic clock, in nanoseconds. */
    private volatile long lastContactNanos = System.nanoTime();

    FailoverLog(KeyedLog direct, Peers peers) {
        this.direct = new GuardedLog(direct);
        calls = new LogCalls(this.direct);
        this.peers = peers;
    }

    /**
     * A route to the log.
     *
     * @param peer address of the relaying peer; null for the direct route
     */
    private record Route(String peer) {
        static final Route DIRECT = new Route(null);

        boolean isDirect() {
            return peer == null;
        }
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

    /**
     * Returns the routes of a read in the order to try. While the direct route fails, peers are asked and the route is
     * probed at intervals, in the background if possible.
     *
     * @param probe makes the read on the direct route; null if it is too long for a probe in the background
     */
    private List<Route> readRoutes(Runnable probe) {
        List<Route> routes = new ArrayList<>();
        if (!directFails) {
            routes.add(Route.DIRECT);
        }
        peers.candidates().forEach(peer -> routes.add(new Route(peer)));
        if (directFails && probes.isDue()) {
            if (probe == null || routes.isEmpty()) {
                probes.postpone();
                routes.add(Route.DIRECT);
            } else {
                probes.start(probe);
            }
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
        long waitMillis = call.waitMillis();
        AdaptiveTimeout timeout =
                route.isDirect() ? call.timeouts().direct() : call.timeouts().peer();
        long timeoutMillis = Math.max(1, Math.min(waitMillis + timeout.currentMillis(), Clocks.millisUntil(deadline)));
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
            // A failed probe of the direct route does not make the log unreachable while relaying works.
            boolean relayed = directFails && reachable;
            setDirectAnswers(answered);
            setReachable(answered || relayed);
        } else if (!answered) {
            peers.recordFailure(route.peer());
        }
        return outcome;
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
        boolean canRepeat = !(append.condition() instanceof Append.AtEnd);
        LogCall<AppendOutcome> call = calls.append(append);
        boolean anyUnanswered = false;
        String reason = "no way to the log";
        for (Route route : appendRoutes()) {
            if (Clocks.millisUntil(deadline) <= 0) {
                return anyUnanswered ? new AppendOutcome.Unknown(reason) : new AppendOutcome.Refused("no time left");
            }
            AppendOutcome outcome = call(route, deadline, call);
            if (call.isAnswer(outcome)) {
                setReachable(true);
                return outcome;
            }
            anyUnanswered |= !(outcome instanceof AppendOutcome.Refused);
            reason = outcome == null ? "no answer" : outcome.toString();
            if (anyUnanswered && !canRepeat) {
                break;
            }
        }
        setReachable(false);
        return anyUnanswered ? new AppendOutcome.Unknown(reason) : new AppendOutcome.Refused(reason);
    }

    @Override
    public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        Runnable probe = () -> call(Route.DIRECT, deadline, calls.read(topic, from, 0));
        return firstAnswer(probe, deadline, calls.read(topic, from, waitMillis), ReadOutcome.Unavailable::new);
    }

    @Override
    public NewestOutcome newest(String topic, String after, long deadline) {
        return firstAnswer(null, deadline, calls.newest(topic, after), NewestOutcome.Unavailable::new);
    }

    /**
     * Returns the first answer of the log on one of the routes of a read, or {@code unavailable} with the reasons.
     *
     * @param probe makes a short read on the direct route; null if there is none
     */
    private <T> T firstAnswer(Runnable probe, long deadline, LogCall<T> call, Function<String, T> unavailable) {
        StringJoiner reasons = new StringJoiner("; ");
        reasons.setEmptyValue("the direct route failed recently and there is no peer");
        for (Route route : readRoutes(probe)) {
            T outcome = call(route, deadline, call);
            if (call.isAnswer(outcome)) {
                setReachable(true);
                return outcome;
            }
            if (route.isDirect() && probe != null) {
                probes.start(probe);
            }
            reasons.add((route.isDirect() ? "direct" : route.peer()) + ": " + reasonOf(outcome));
        }
        setReachable(false);
        return unavailable.apply(reasons.toString());
    }

    private static String reasonOf(Object outcome) {
        return switch (outcome) {
            case null -> "no reply";
            case ReadOutcome.Unavailable unavailable -> unavailable.reason();
            case NewestOutcome.Unavailable unavailable -> unavailable.reason();
            default -> outcome.toString();
        };
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
