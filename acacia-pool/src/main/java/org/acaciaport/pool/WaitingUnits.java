package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;

/**
 * Collects the units that a pass may start, in scheduling order: those that wait, and those with reserved resources.
 *
 * <p>Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class WaitingUnits {
    private final AccountDemand accountDemand;
    private final ClockReading now;

    WaitingUnits(AccountDemand accountDemand, ClockReading now) {
        this.accountDemand = accountDemand;
        this.now = now;
    }

    /**
     * A unit with the keys of the scheduling order, in the order of their weight.
     *
     * @param beyondGuarantee whether the unit is of the highest priority and its account exceeds its guarantee
     */
    private record Entry(
            PlacementUnit unit,
            int priority,
            boolean beyondGuarantee,
            Objective.DeadlineStatus deadlineStatus,
            long slackMillis,
            String job)
            implements Comparable<Entry> {
        /** Returns the entry of another task of the same step. */
        Entry forSibling(PlacementUnit sibling) {
            return new Entry(sibling, priority, beyondGuarantee, deadlineStatus, slackMillis, job);
        }

        @Override
        public int compareTo(Entry other) {
            int order = Integer.compare(priority, other.priority);
            order = order != 0 ? order : Boolean.compare(beyondGuarantee, other.beyondGuarantee);
            order = order != 0 ? order : deadlineStatus.compareTo(other.deadlineStatus);
            order = order != 0 ? order : Long.compare(slackMillis, other.slackMillis);
            return order != 0 ? order : job.compareTo(other.job);
        }
    }

    /** Returns the units of {@code jobs} in scheduling order; opens the occurrences that are due. */
    List<PlacementUnit> collect(Collection<JobExecution> jobs) {
        List<Entry> entries = new ArrayList<>();
        for (JobExecution job : jobs) {
            if (!job.state.isTerminal()) {
                collect(job, entries);
            }
        }
        Collections.sort(entries);
        List<PlacementUnit> units = new ArrayList<>(entries.size());
        entries.forEach(entry -> units.add(entry.unit));
        return units;
    }

    private void collect(JobExecution job, List<Entry> entries) {
        job.openDueOccurrences(now.wallClockMillis());
        for (List<StepExecution> steps : job.openOccurrences()) {
            for (StepExecution step : steps) {
                if (step.isDone() || !step.isReady(steps)) {
                    continue;
                }
                if (step.readyNanos == 0) {
                    step.readyNanos = now.monotonicNanos();
                    step.nextSearchNanos = now.monotonicNanos();
                }
                if (!job.awaitsService) {
                    collect(step, entries);
                }
            }
        }
    }

    /** Adds the single tasks without a run, or the gang if none of its tasks has one and it may run once more. */
    private void collect(StepExecution step, List<Entry> entries) {
        if (step.spec.mode().gang()) {
            PlacementUnit gang = new PlacementUnit(step, step.tasks);
            if (!step.hasAttemptLeft()) {
                return;
            }
            if (gang.isIn(Phase.WAITING) || gang.isIn(Phase.RESERVED)) {
                entries.add(entry(gang));
            }
            return;
        }
        Entry first = null;
        for (TaskExecution task : step.tasks) {
            if (task.phase == Phase.WAITING || task.phase == Phase.RESERVED) {
                PlacementUnit unit = new PlacementUnit(step, List.of(task));
                first = first == null ? entry(unit) : first.forSibling(unit);
                entries.add(first);
            }
        }
    }

    private Entry entry(PlacementUnit unit) {
        return new Entry(
                unit,
                unit.priority(),
                unit.priority() == 0
                        && !accountDemand.isWithinGuarantee(unit.job().account()),
                unit.step().deadlineStatus(now),
                unit.step().slackMillis(now),
                unit.job().id());
    }
}
