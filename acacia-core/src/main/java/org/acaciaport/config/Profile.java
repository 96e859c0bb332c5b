package org.acaciaport.config;

import java.util.List;
import java.util.Optional;

/**
 * A named class of work: the resources it needs, its priority and how it may be preempted.
 *
 * <p>Immutable. The two limits are durations; they are turned into deadlines when a request is accepted or started.
 *
 * @param name unique name that requests refer to
 * @param shape the accelerators that each member needs, the number of members and their adjacency
 * @param processors processors that each member needs on its target
 * @param memoryMb memory that each member needs on its target, in mebibytes
 * @param priority priority among the requests of a client account; higher values run first
 * @param idempotent whether the work may be run more than once
 * @param borrows whether the work may run on accelerators that are guaranteed to other accounts
 * @param treatments the allowed ways to reclaim the accelerators of running work
 * @param precedes names of profiles whose work does not start while work of this profile is queued in the same account
 * @param queueLimitMillis longest time in the queue before the request is answered as not run, in milliseconds
 * @param runLimitMillis longest run time before the work is stopped, in milliseconds
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
    /** Makes defensive copies of the lists. */
    public Profile {
        treatments = List.copyOf(treatments);
        precedes = List.copyOf(precedes);
    }

    /**
     * Returns whether running work of this profile can be preempted within a bounded time. It must be allowed to borrow
     * and to be stopped; work that is not idempotent must also support checkpoints, since it cannot be run again from
     * the beginning.
     */
    public boolean revocable() {
        if (!borrows || !treatments.contains(Treatment.STOP)) {
            return false;
        }
        return idempotent || treatments.contains(Treatment.CHECKPOINT);
    }

    /**
     * Returns the next allowed treatment, in the order of the enum, after {@code previous}; the first one if {@code
     * previous} is empty.
     */
    public Optional<Treatment> nextTreatment(Optional<Treatment> previous) {
        for (Treatment treatment : Treatment.values()) {
            boolean later = previous.isEmpty() || treatment.compareTo(previous.get()) > 0;
            if (later && treatments.contains(treatment)) {
                return Optional.of(treatment);
            }
        }
        return Optional.empty();
    }

    /** Returns whether the work needs more than one target. */
    public boolean runsAsGang() {
        return shape.targets() > 1;
    }

    /**
     * Returns the number of accelerators to reserve on {@code target} for one member: the number it needs, or more if
     * it needs a larger fraction of the target's processors or memory. The reserved accelerators thus account for all
     * three resources, and placement need only compare accelerators.
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
