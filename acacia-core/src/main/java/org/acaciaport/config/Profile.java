package org.acaciaport.config;

import java.util.List;
import java.util.Optional;

/**
 * A named kind of work: the shape it needs, its priority and how it may be treated.
 *
 * <p>Immutable. The three limits are policy, not points in time; they become deadlines when a request is accepted or
 * started.
 *
 * @param name unique name that requests refer to
 * @param shape accelerators, members and adjacency
 * @param processors processors on each member's target
 * @param memoryMb memory on each member's target, in mebibytes
 * @param priority rank within a client account; higher runs first
 * @param idempotent whether the work may be run more than once
 * @param borrows whether the work may run on accelerators that another account can claim
 * @param treatments what may be done to running work to take its accelerators back
 * @param precedes names of profiles whose work never starts while work of this profile waits in the same account
 * @param queueLimitMillis longest wait before the request is answered as not run, in milliseconds
 * @param runLimitMillis longest run before the work is stopped, in milliseconds
 */
public record Profile(
        String name,
        Shape shape,
        int processors,
        int memoryMb,
        int priority,
        boolean idempotent,
        boolean borrows,
        List<Treatment> treatments,
        List<String> precedes,
        long queueLimitMillis,
        long runLimitMillis) {
    /** Copies the lists. */
    public Profile {
        treatments = List.copyOf(treatments);
        precedes = List.copyOf(precedes);
    }

    /**
     * Returns whether running work of this profile can be taken off a target within a bounded time without harm.
     * Non-idempotent work qualifies only when it can be both checkpointed and stopped.
     */
    public boolean revocable() {
        if (!borrows || !treatments.contains(Treatment.STOP)) {
            return false;
        }
        return idempotent || treatments.contains(Treatment.CHECKPOINT);
    }

    /** Returns the first allowed treatment after {@code previous}, or the first of all if that is empty. */
    public Optional<Treatment> treatmentAfter(Optional<Treatment> previous) {
        for (Treatment treatment : Treatment.values()) {
            boolean later = previous.isEmpty() || treatment.compareTo(previous.get()) > 0;
            if (later && treatments.contains(treatment)) {
                return Optional.of(treatment);
            }
        }
        return Optional.empty();
    }

    /** Returns whether the profile needs more than one target. */
    public boolean gang() {
        return shape.targets() > 1;
    }

    /**
     * Returns the accelerators that one member occupies on {@code target}: its own, or more where its share of the
     * processors or of the memory is larger, so that accelerators alone decide what fits.
     */
    public int unitsOn(Target target) {
        int byProcessors = ceilDiv(processors * target.accelerators(), target.processors());
        int byMemory = (int) ceilDiv((long) memoryMb * target.accelerators(), target.memoryMb());
        return Math.max(shape.acceleratorsPerTarget(), Math.max(byProcessors, byMemory));
    }

    private static int ceilDiv(int dividend, int divisor) {
        return (int) ceilDiv((long) dividend, divisor);
    }

    private static long ceilDiv(long dividend, long divisor) {
        return (dividend + divisor - 1) / divisor;
    }
}
