package org.acaciaport.decision;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.ObjLongConsumer;

/**
 * The leader of the simulated data centre: a real decider whose decisions are checked, recorded in a digest and passed
 * on as commands.
 *
 * <p>One instance stands for all leaders of a run, each with an epoch of its own; a new epoch starts from an empty
 * state. The digest covers every event, note and command of the run. Not thread-safe.
 */
final class SimulatedLeader {
    private static final long AUDIT_INTERVAL_STEPS = 256;
    private static final int TRACE_LINES = 80;
    private static final int MAX_TRACE_LINE_LENGTH = 600;

    private final Decider decider;
    private final String dataCentre;
    private final VirtualTime time;
    private final List<Violation> violations;
    private final ObjLongConsumer<Command> executor;
    private final ArrayDeque<String> trace = new ArrayDeque<>();
    private final Hasher digest = Hashing.sha256().newHasher();
    private Invariants invariants;
    private CellState state;
    private long epoch = 1;
    private long steps;
    private long earlierChecks; // by the invariants of earlier leaders
    private long pausedUntil;

    /**
     * Creates the leader of epoch 1.
     *
     * @param violations receives the violations found
     * @param executor executes a command of the leader of an epoch
     */
    SimulatedLeader(
            Decider decider,
            String dataCentre,
            VirtualTime time,
            List<Violation> violations,
            ObjLongConsumer<Command> executor) {
        this.decider = decider;
        this.dataCentre = dataCentre;
        this.time = time;
        this.violations = violations;
        this.executor = executor;
        invariants = new Invariants(decider.policy());
        state = CellState.initial(dataCentre, epoch);
    }

    /** Decides on {@code event} now, or after the pause if the scheduler is paused; a replaced leader drops it. */
    void handle(Event event) {
        if (isPaused()) {
            long arrivalEpoch = epoch;
            time.scheduleAt(pausedUntil, () -> handleIfLeading(arrivalEpoch, event));
            return;
        }
        CellState before = state;
        Decision decision = decider.decide(before, event, time.now());
        steps++;
        violations.addAll(invariants.check(before, event, decision, time.now()));
        state = decision.state();
        addToDigestAndTrace(event, decision);
        if (steps % AUDIT_INTERVAL_STEPS == 0) {
            violations.addAll(invariants.audit(state, time.now()));
        }
        decision.commands().forEach(command -> executor.accept(command, epoch));
    }

    /** Handles an event meant for the leader of {@code eventEpoch}, or drops it if that leader was replaced. */
    void handleIfLeading(long eventEpoch, Event event) {
        if (isLeading(eventEpoch)) {
            handle(event);
        }
    }

    private void addToDigestAndTrace(Event event, Decision decision) {
        String line = time.now() + " " + event + " -> " + decision.notes() + " " + decision.commands();
        digest.putString(line, StandardCharsets.UTF_8);
        trace.add(line.length() > MAX_TRACE_LINE_LENGTH ? line.substring(0, MAX_TRACE_LINE_LENGTH) : line);
        if (trace.size() > TRACE_LINES) {
            trace.removeFirst();
        }
    }

    /** Replaces the leader by one of the next epoch, which knows nothing and is not paused. */
    void startNextEpoch() {
        epoch++;
        pausedUntil = time.now();
        earlierChecks += invariants.checkCount();
        invariants = new Invariants(decider.policy());
        state = CellState.initial(dataCentre, epoch);
    }

    /** Makes the leader handle no event and no timer until {@code until}. */
    void pauseUntil(long until) {
        pausedUntil = until;
    }

    boolean isPaused() {
        return time.now() < pausedUntil;
    }

    boolean isLeading(long otherEpoch) {
        return otherEpoch == epoch;
    }

    long epoch() {
        return epoch;
    }

    CellState state() {
        return state;
    }

    /** Returns when the leader can handle its next timer, or {@link Long#MAX_VALUE} if it has none. */
    long nextTimerAt() {
        return Math.max(state.nextTimerAt().orElse(Long.MAX_VALUE), pausedUntil);
    }

    long steps() {
        return steps;
    }

    long checks() {
        return earlierChecks + invariants.checkCount();
    }

    String digest() {
        return digest.hash().toString();
    }

    /** Returns the latest events with their decisions, oldest first. */
    Iterable<String> trace() {
        return trace;
    }
}
