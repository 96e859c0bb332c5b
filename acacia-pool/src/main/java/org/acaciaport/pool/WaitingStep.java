package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * A step that is ready and has had tasks without a run for a while, with what tells why they do not run.
 *
 * <p>Immutable. A gang whose tasks are all reserved waits for the resources of {@code awaitedTarget}; one with tasks in
 * other phases waits for these to end; single tasks in phase WAITING wait for free slots.
 *
 * @param first the first task without a run
 * @param gang whether the tasks run only together
 * @param waiting tasks without reserved resources
 * @param reserved tasks with reserved resources
 * @param occupying tasks that may have a run
 * @param waitedMillis time since the step became ready, in milliseconds
 * @param reservedMillis age of the oldest reservation of the step, in milliseconds; 0 if there is none
 * @param awaitedTarget a target with reserved resources that are still in use; empty if there is none
 * @param eligibleTargets targets that accept tasks of the step now, regardless of their free resources
 * @param excludedTargets targets that do not, since they were excluded after a failure
 * @param freeSlots tasks of the step that fit into the free resources of the eligible targets
 * @param freeSlotsOnOneRack the same for the rack with the most
 */
public record WaitingStep(
        TaskId first,
        boolean gang,
        int waiting,
        int reserved,
        int occupying,
        long waitedMillis,
        long reservedMillis,
        String awaitedTarget,
        int eligibleTargets,
        int excludedTargets,
        int freeSlots,
        int freeSlotsOnOneRack) {
    /** Time for which a step must have waited to be reported, in milliseconds. */
    private static final long MIN_WAIT_MILLIS = 3_000;

    /** Maximum number of steps in a report. */
    private static final int MAX_STEPS = 5;

    /** Returns the steps that have waited longest; takes time linear in the tasks and, for each result, the targets. */
    static List<WaitingStep> longest(
            Collection<JobExecution> jobs, Collection<TargetState> targets, PoolSettings settings, ClockReading now) {
        List<StepExecution> steps = new ArrayList<>();
        for (JobExecution job : jobs) {
            if (!job.state.isTerminal()) {
                job.openOccurrences().forEach(open -> steps.addAll(waitingSteps(open, now)));
            }
        }
        steps.sort(Comparator.comparingLong(step -> step.readyNanos));
        Placement placement = new Placement(targets, settings);
        return steps.stream()
                .limit(MAX_STEPS)
                .map(step -> of(step, targets, placement, now))
                .toList();
    }

    private static List<StepExecution> waitingSteps(List<StepExecution> steps, ClockReading now) {
        return steps.stream()
                .filter(step -> step.readyNanos != 0 && now.millisSince(step.readyNanos) >= MIN_WAIT_MILLIS)
                .filter(step -> step.tasks.stream().anyMatch(task -> isWithoutRun(task.phase)))
                .toList();
    }

    private static boolean isWithoutRun(Phase phase) {
        return phase == Phase.WAITING || phase == Phase.RESERVED;
    }

    private static WaitingStep of(
            StepExecution step, Collection<TargetState> targets, Placement placement, ClockReading now) {
        PlacementUnit unit = new PlacementUnit(step, step.tasks);
        int excluded = 0;
        for (TargetState target : targets) {
            boolean compatible = target.registered && Placement.isCompatible(unit.job(), step.spec, target);
            if (compatible && target.openFromNanos() > now.monotonicNanos()) {
                excluded++;
            }
        }
        int eligible = 0;
        int slots = 0;
        int slotsOnOneRack = 0;
        for (List<TargetState> rack :
                placement.eligibleTargetsByRack(unit, now.monotonicNanos()).values()) {
            eligible += rack.size();
            int rackSlots = 0;
            for (TargetState target : rack) {
                rackSlots += Placement.countSlots(unit, target, target.freeNow());
            }
            slots += rackSlots;
            slotsOnOneRack = Math.max(slotsOnOneRack, rackSlots);
        }
        return new WaitingStep(
                step.tasks.stream()
                        .filter(task -> isWithoutRun(task.phase))
                        .findFirst()
                        .orElseThrow()
                        .id,
                step.spec.mode().gang(),
                count(step, Phase.WAITING),
                count(step, Phase.RESERVED),
                count(step, Phase.STARTING) + count(step, Phase.RUNNING) + count(step, Phase.STOPPING),
                now.millisSince(step.readyNanos),
                reservedMillis(step, now),
                awaitedTarget(step),
                eligible,
                excluded,
                slots,
                slotsOnOneRack);
    }

    private static int count(StepExecution step, Phase phase) {
        return (int) step.tasks.stream().filter(task -> task.phase == phase).count();
    }

    private static long reservedMillis(StepExecution step, ClockReading now) {
        long longest = 0;
        for (TaskExecution task : step.tasks) {
            if (task.phase == Phase.RESERVED) {
                longest = Math.max(longest, now.millisSince(task.reservedNanos));
            }
        }
        return longest;
    }

    private static String awaitedTarget(StepExecution step) {
        for (TaskExecution task : step.tasks) {
            if (task.phase == Phase.RESERVED && !task.demand().fitsIn(task.target.freeNow())) {
                return task.target.id;
            }
        }
        return "";
    }
}
