package org.acaciaport.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jboss.logging.Logger;

/**
 * Makes reservations for units and stops the tasks that have to make room, with a log line for each.
 *
 * <p>Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class UnitReserver {
    private static final Logger LOG = Logger.getLogger(UnitReserver.class);

    private final TaskLifecycle taskLifecycle;
    private final RunEstimates estimates;
    private final UnitWaits unitWaits;
    private final ClockReading now;

    UnitReserver(TaskLifecycle taskLifecycle, RunEstimates estimates, UnitWaits unitWaits, ClockReading now) {
        this.taskLifecycle = taskLifecycle;
        this.estimates = estimates;
        this.unitWaits = unitWaits;
        this.now = now;
    }

    /** Makes {@code reservation} and stops its victims. */
    void reserve(PlacementUnit unit, Reservation reservation) {
        stopVictims(unit, reservation);
        unit.step().searchSkippedNanos = 0;
        unit.step().displacedCoreSeconds = reservation.displacedCoreSeconds();
        List<TargetState> chosen = reservation.targets();
        for (int i = 0; i < unit.size(); i++) {
            TaskExecution task = unit.tasks().get(i);
            task.reservedNanos = now.monotonicNanos();
            task.reservationExpiresNanos = reservation.expiresNanos();
            chosen.get(i).put(task, Phase.RESERVED);
        }
        LOG.infof(
                "place: request=%s step=%s tasks=%s cores=%.1f account=%s target=%s speed=%.2f seconds=%.1f slack_ms=%s"
                        + " why=%s waited_ms=%s",
                unit.job().id(),
                unit.step().number,
                unit.size(),
                unit.demand().coreEquivalents(),
                unit.job().account(),
                chosen.get(0).id,
                slowestSpeed(chosen),
                estimates.seconds(unit.step()) / slowestSpeed(chosen),
                unit.step().slackMillis(now),
                reservation.why(),
                unitWaits.millis(unit));
    }

    private static double slowestSpeed(List<TargetState> targets) {
        return targets.stream().mapToDouble(target -> target.speed).min().orElse(1);
    }

    private void stopVictims(PlacementUnit unit, Reservation reservation) {
        for (TaskExecution task : reservation.victims()) {
            if (task.phase == Phase.RESERVED) {
                taskLifecycle.cancelReservation(task);
                continue;
            }
            LOG.infof(
                    "stop: request=%s task=%s run=%s target=%s why=%s for=%s",
                    task.id.job(),
                    task.id,
                    task.lastRun,
                    task.target.id,
                    reservation.why(),
                    unit.job().id());
            taskLifecycle.stop(task, now);
        }
        countPreemptions(reservation.victims());
    }

    private static void countPreemptions(List<TaskExecution> victims) {
        Set<StepExecution> steps = new HashSet<>();
        for (TaskExecution task : victims) {
            if (task.phase == Phase.STOPPING && steps.add(task.step)) {
                task.step.preemptionCount++;
            }
        }
    }
}
