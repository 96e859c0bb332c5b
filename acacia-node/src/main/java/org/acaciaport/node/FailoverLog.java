package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
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
 * Reaches the log directly, or through a peer while the log turns this node away.
 *
 * <p>Safe for use by several threads. Peers never pass a relayed call on. An append is tried on another way only if
 * nothing was done on the first or a repeat is harmless; once one try had no answer, the outcome is never
 * {@link AppendOutcome.Refused}.
 */
public final class FailoverLog implements KeyedLog, WireServer.Handler {
    private static final Logger LOG = Logger.getLogger(FailoverLog.class);

    /** Pause between two probes of the direct way while it fails, in milliseconds. */
    private static final long PROBE_MILLIS = 400;

    /** Time without an answer from any peer after which this node counts as cut off alone, in milliseconds. */
    private static final long ALONE_MILLIS = 1_000;

    private final KeyedLog direct;
    private final Peers peers;
    private final AdaptiveTimeout directTime = new AdaptiveTimeout();
    private final AdaptiveTimeout peerTime = new AdaptiveTimeout();
    private volatile boolean directFails;
    private volatile boolean reachable = true;
    private volatile long probeAt;

    /** When a peer last answered or the log was last reached, on the steady clock, in nanoseconds. */
    private volatile long companyNanos = System.nanoTime();

    FailoverLog(KeyedLog direct, Peers peers) {
        this.direct = direct;
        this.peers = peers;
    }

    /** One way to the log: null stands for the direct one. */
    private record Way(String peer) {
        static final Way DIRECT = new Way(null);

        boolean isDirect() {
            return peer == null;
        }
    }

    /**
     * Returns whether the newest call found some way to the log; false also while other ways are tried for the first
     * time after the direct one failed.
     */
    boolean reachable() {
        return reachable;
    }

    /** Returns whether neither the log nor any peer has answered for a while, so that only this node may be cut off. */
    boolean alone() {
        return !reachable && Clocks.millisUntil(companyNanos) < -ALONE_MILLIS;
    }

    /** Returns the ways of a read in order; while the direct one fails, it is probed now and then. */
    private List<Way> waysToRead() {
        List<Way> ways = new ArrayList<>();
        boolean probe = directFails && System.nanoTime() >= probeAt;
        if (probe) {
            probeAt = Clocks.in(PROBE_MILLIS);
        }
        if (!directFails || probe) {
            ways.add(Way.DIRECT);
        }
        peers.candidates().forEach(peer -> ways.add(new Way(peer)));
        return ways;
    }

    /** Returns the ways of an append in order; callers wait for it, so the direct way comes last while it fails. */
    private List<Way> waysToAppend() {
        List<Way> ways = new ArrayList<>();
        peers.candidates().forEach(peer -> ways.add(new Way(peer)));
        ways.add(directFails ? ways.size() : 0, Way.DIRECT);
        return ways;
    }

    /** Makes one call on one way; returns null if there was no usable answer in time. */
    private <T> T call(Way way, long waitMillis, long deadline, Call<T> call) {
        AdaptiveTimeout time = way.isDirect() ? directTime : peerTime;
        long millis = Math.max(1, Math.min(waitMillis + time.millis(), Clocks.millisUntil(deadline)));
        long begun = System.nanoTime();
        T outcome = way.isDirect() ? call.direct().apply(Clocks.in(millis)) : ask(way.peer(), call, millis);
        boolean answered = outcome != null && call.answered().test(outcome);
        double took = (double) (System.nanoTime() - begun) / Clocks.NANOS_PER_MILLI;
        if (answered && took < time.millis()) {
            time.answered(took);
        } else if (took >= waitMillis + time.millis()) {
            time.missed();
        }
        if (answered) {
            companyNanos = System.nanoTime();
        }
        if (way.isDirect()) {
            boolean relayed = directFails && reachable;
            noteDirect(answered);
            noteReachable(answered || relayed);
        } else if (!answered) {
            peers.demote(way.peer());
        }
        return outcome;
    }

    /**
     * One kind of call, direct and through a peer.
     *
     * @param direct makes the direct call until a deadline
     * @param query what a peer is asked
     * @param read takes the outcome out of a peer's reply; null if it is of another kind
     * @param answered whether an outcome shows that the log answered
     */
    private record Call<T>(Function<Long, T> direct, Message query, Function<Message, T> read, Predicate<T> answered) {}

    private <T> T ask(String peer, Call<T> call, long millis) {
        try {
            Message reply = peers.ask(peer, call.query(), millis);
            companyNanos = System.nanoTime();
            return call.read().apply(reply);
        } catch (WireException e) {
            LOG.debugf("dependency: peer=%s outcome=unavailable reason=%s", peer, e.getMessage());
            return null;
        }
    }

    private void noteDirect(boolean answered) {
        if (answered == directFails) {
            directFails = !answered;
            probeAt = Clocks.in(PROBE_MILLIS);
            LOG.infof("dependency: log way=direct outcome=%s", answered ? "regained" : "lost");
        }
    }

    private void noteReachable(boolean now) {
        if (reachable != now) {
            reachable = now;
            LOG.infof("dependency: log way=any outcome=%s", now ? "regained" : "lost");
        }
    }

    @Override
    public AppendOutcome append(Append append, long deadline) {
        boolean repeatable = !(append.condition() instanceof Append.AtEnd);
        Call<AppendOutcome> call = new Call<>(
                until -> direct.append(append, until),
                new Message.AppendLog(append),
                reply -> reply instanceof Message.LogAppended answer ? answer.outcome() : null,
                FailoverLog::answered);
        boolean unknown = false;
        String reason = "no way to the log";
        for (Way way : waysToAppend()) {
            if (Clocks.millisUntil(deadline) <= 0) {
                return unknown ? new AppendOutcome.Unknown(reason) : new AppendOutcome.Refused("no time left");
            }
            AppendOutcome outcome = call(way, 0, deadline, call);
            if (outcome != null && answered(outcome)) {
                noteReachable(true);
                return outcome;
            }
            unknown |= !(outcome instanceof AppendOutcome.Refused);
            reason = outcome == null ? "no answer" : outcome.toString();
            if (unknown && !repeatable) {
                break;
            }
        }
        noteReachable(false);
        return unknown ? new AppendOutcome.Unknown(reason) : new AppendOutcome.Refused(reason);
    }

    private static boolean answered(AppendOutcome outcome) {
        return switch (outcome) {
            case AppendOutcome.Refused refused -> false;
            case AppendOutcome.Unknown unknown -> false;
            case AppendOutcome.Appended appended -> true;
            case AppendOutcome.NotAtEnd other -> true;
            case AppendOutcome.Deposed deposed -> true;
            case AppendOutcome.OutOfSequence other -> true;
        };
    }

    @Override
    public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        Call<ReadOutcome> call = new Call<>(
                until -> direct.read(topic, from, waitMillis, until),
                new Message.ReadLog(topic, from, waitMillis),
                reply -> reply instanceof Message.LogRead answer ? answer.outcome() : null,
                outcome -> !(outcome instanceof ReadOutcome.Unavailable));
        ReadOutcome outcome = first(waitMillis, deadline, call);
        return outcome == null ? new ReadOutcome.Unavailable("neither the log nor a peer answered") : outcome;
    }

    @Override
    public NewestOutcome newest(String topic, String after, long deadline) {
        Call<NewestOutcome> call = new Call<>(
                until -> direct.newest(topic, after, until),
                new Message.ReadNewest(topic, after),
                reply -> reply instanceof Message.NewestRead answer ? answer.outcome() : null,
                outcome -> outcome instanceof NewestOutcome.Page);
        NewestOutcome outcome = first(0, deadline, call);
        return outcome == null ? new NewestOutcome.Unavailable("neither the log nor a peer answered") : outcome;
    }

    /** Returns the first answer on any way, or null. */
    private <T> T first(long waitMillis, long deadline, Call<T> call) {
        for (Way way : waysToRead()) {
            T outcome = call(way, waitMillis, deadline, call);
            if (outcome != null && call.answered().test(outcome)) {
                noteReachable(true);
                return outcome;
            }
        }
        noteReachable(false);
        return null;
    }

    /** Answers a peer that the log turns away. */
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
