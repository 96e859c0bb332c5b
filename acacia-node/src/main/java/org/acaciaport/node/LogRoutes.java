package org.acaciaport.node;

import java.util.function.Function;
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
public final class LogRoutes implements KeyedLog, WireServer.Handler {
    private static final Logger LOG = Logger.getLogger(LogRoutes.class);

    /** Longest wait for the answer to one try, in milliseconds. */
    private static final long TRY_MILLIS = 1_200;

    /** Pause between two probes of the direct way while it fails, in milliseconds. */
    private static final long PROBE_MILLIS = 400;

    private final KeyedLog direct;
    private final Peers peers;
    private volatile boolean directFails;
    private volatile long probeAt;

    LogRoutes(KeyedLog direct, Peers peers) {
        this.direct = direct;
        this.peers = peers;
    }

    /** Returns whether the next call should try the direct way first. */
    private boolean directFirst() {
        if (!directFails) {
            return true;
        }
        if (System.nanoTime() < probeAt) {
            return false;
        }
        probeAt = Clocks.in(PROBE_MILLIS);
        return true;
    }

    private void note(boolean answered) {
        if (answered == directFails) {
            directFails = !answered;
            probeAt = Clocks.in(PROBE_MILLIS);
            LOG.infof("dependency: log way=direct outcome=%s", answered ? "regained" : "lost");
        }
    }

    /** Returns the deadline of one try. */
    private static long tryUntil(long deadline, long waitMillis) {
        return Math.min(deadline, Clocks.in(waitMillis + TRY_MILLIS));
    }

    @Override
    public AppendOutcome append(Append append, long deadline) {
        boolean repeatable = !(append.condition() instanceof Append.AtEnd);
        AppendOutcome first = new AppendOutcome.Refused("not tried");
        boolean directFirst = directFirst();
        if (directFirst) {
            first = direct.append(append, tryUntil(deadline, 0));
            note(!(first instanceof AppendOutcome.Refused || first instanceof AppendOutcome.Unknown));
            if (settled(first, repeatable)) {
                return first;
            }
        }
        boolean unknown = first instanceof AppendOutcome.Unknown;
        for (String peer : peers.candidates()) {
            AppendOutcome outcome =
                    ask(peer, new Message.AppendLog(append), tryUntil(deadline, 0), LogRoutes::appended);
            if (outcome == null) {
                unknown = true;
                outcome = new AppendOutcome.Unknown("no reply from peer " + peer);
            }
            if (settled(outcome, repeatable)) {
                return outcome;
            }
            unknown |= outcome instanceof AppendOutcome.Unknown;
            first = outcome;
            if (Clocks.millisUntil(deadline) <= 0) {
                break;
            }
        }
        if (!directFirst && !unknown && Clocks.millisUntil(deadline) > 0) {
            first = direct.append(append, tryUntil(deadline, 0));
            note(!(first instanceof AppendOutcome.Refused || first instanceof AppendOutcome.Unknown));
        }
        boolean hide = unknown && first instanceof AppendOutcome.Refused;
        return hide ? new AppendOutcome.Unknown("a try had no answer") : first;
    }

    private static boolean settled(AppendOutcome outcome, boolean repeatable) {
        return switch (outcome) {
            case AppendOutcome.Refused refused -> false;
            case AppendOutcome.Unknown unknown -> !repeatable;
            case AppendOutcome.Appended appended -> true;
            case AppendOutcome.NotAtEnd other -> true;
            case AppendOutcome.Deposed deposed -> true;
            case AppendOutcome.OutOfSequence other -> true;
        };
    }

    private static AppendOutcome appended(Message reply) {
        return reply instanceof Message.LogAppended answer ? answer.outcome() : null;
    }

    @Override
    public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        boolean directFirst = directFirst();
        if (directFirst) {
            ReadOutcome outcome = direct.read(topic, from, waitMillis, tryUntil(deadline, waitMillis));
            note(!(outcome instanceof ReadOutcome.Unavailable));
            if (!(outcome instanceof ReadOutcome.Unavailable)) {
                return outcome;
            }
        }
        for (String peer : peers.candidates()) {
            ReadOutcome outcome = ask(
                    peer,
                    new Message.ReadLog(topic, from, waitMillis),
                    tryUntil(deadline, waitMillis),
                    reply -> reply instanceof Message.LogRead answer ? answer.outcome() : null);
            if (outcome != null && !(outcome instanceof ReadOutcome.Unavailable)) {
                return outcome;
            }
            peers.demote(peer);
        }
        return new ReadOutcome.Unavailable("neither the log nor a peer answered");
    }

    @Override
    public NewestOutcome newest(String topic, String after, long deadline) {
        if (directFirst()) {
            NewestOutcome outcome = direct.newest(topic, after, tryUntil(deadline, 0));
            note(outcome instanceof NewestOutcome.Page);
            if (outcome instanceof NewestOutcome.Page) {
                return outcome;
            }
        }
        for (String peer : peers.candidates()) {
            NewestOutcome outcome = ask(
                    peer,
                    new Message.ReadNewest(topic, after),
                    tryUntil(deadline, 0),
                    reply -> reply instanceof Message.NewestRead answer ? answer.outcome() : null);
            if (outcome instanceof NewestOutcome.Page) {
                return outcome;
            }
            peers.demote(peer);
        }
        return new NewestOutcome.Unavailable("neither the log nor a peer answered");
    }

    /** Returns null if no usable reply came. */
    private <T> T ask(String peer, Message query, long deadline, Function<Message, T> read) {
        long millis = Clocks.millisUntil(deadline);
        if (millis <= 0) {
            return null;
        }
        try {
            return read.apply(peers.ask(peer, query, millis));
        } catch (WireException e) {
            peers.demote(peer);
            LOG.debugf("dependency: peer=%s outcome=unavailable reason=%s", peer, e.getMessage());
            return null;
        }
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
