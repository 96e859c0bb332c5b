package org.acaciaport.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.jboss.logging.Logger;

/**
 * Compares what targets report with what the pool expects of them, and corrects the pool's view or the targets.
 *
 * <p>Has no mutable state of its own. Not thread-safe; confined to the thread of the pool.
 */
final class ReportHandler {
    private static final Logger LOG = Logger.getLogger(ReportHandler.class);

    /** Time after which a stop command is sent again if the run is still reported, in milliseconds. */
    private static final long STOP_RETRY_MILLIS = 300;

    private final Outbox outbox;
    private final TaskLifecycle taskLifecycle;
    private final RunEndHandler runEndHandler;
    private final RunMonitor runMonitor;
    private final RunEstimates estimates;
    private final Function<String, JobExecution> findJob;

    /**
     * Creates a handler.
     *
     * @param outbox collects stop commands and acknowledgements
     * @param taskLifecycle changes the states of tasks
     * @param runEndHandler counts the ends of runs
     * @param runMonitor watches the progress of runs
     * @param estimates learns from the progress of runs
     * @param findJob returns a job by its id, or null if it is unknown
     */
    ReportHandler(
            Outbox outbox,
            TaskLifecycle taskLifecycle,
            RunEndHandler runEndHandler,
            RunMonitor runMonitor,
            RunEstimates estimates,
            Function<String, JobExecution> findJob) {
        this.outbox = outbox;
        this.taskLifecycle = taskLifecycle;
        this.runEndHandler = runEndHandler;
        this.runMonitor = runMonitor;
        this.estimates = estimates;
        this.findJob = findJob;
    }

    /** Handles a report of {@code target}; one of another incarnation means a restart. */
    void handle(TargetState target, TargetReport report, ClockReading now) {
        target.lastReportNanos = now.monotonicNanos();
        adoptRuns(target, report);
        handleRestart(target, report.incarnation(), now);
        long lastNumber = 0;
        for (TargetReport.Ended end : report.ended()) {
            recordBegun(end.task().job());
            runEndHandler.handleEnd(findTask(end.task()), target, end, now);
            lastNumber = end.number();
        }
        if (lastNumber > 0) {
            outbox.addAcknowledgement(target.id, target.incarnation, lastNumber);
        }
        reconcileRunning(target, report, now);
    }

    /**
     * Accepts runs whose start reached another incarnation of the target than intended, so that they are not treated as
     * lost by the restart.
     */
    private void adoptRuns(TargetState target, TargetReport report) {
        for (TargetReport.Running run : report.running()) {
            TaskExecution task = target.tasks.get(run.task());
            if (task != null && task.lastRun == run.run() && task.phase.mayOccupyTarget()) {
                task.incarnation = report.incarnation();
            }
        }
    }

    /**
     * Compares the reported runs with the expected ones: stops stray runs and requeues tasks whose run is absent. A
     * report that lists only some of the ended runs shows no run as absent; later ones list the rest.
     */
    private void reconcileRunning(TargetState target, TargetReport report, ClockReading now) {
        Set<TaskId> reported = new HashSet<>();
        target.clearStrayRuns();
        for (TargetReport.Running run : report.running()) {
            recordBegun(run.task().job());
            TaskExecution task = findTask(run.task());
            if (task == null || task.target != target || task.lastRun != run.run() || !task.phase.mayOccupyTarget()) {
                stopStray(target, task, run);
                continue;
            }
            reported.add(task.id);
            recordProgress(task, run, now);
        }
        if (!report.complete()) {
            return;
        }
        for (TaskExecution task : List.copyOf(target.tasks.values())) {
            boolean known = task.phase == Phase.RUNNING || task.phase == Phase.STOPPING;
            boolean confirmed = task.confirmedNanos != 0 && task.confirmedNanos < report.requestNanos();
            if (known && confirmed && !reported.contains(task.id)) {
                LOG.infof(
                        "run: request=%s task=%s run=%s target=%s outcome=absent",
                        task.id.job(), task.id, task.lastRun, target.id);
                taskLifecycle.requeue(task, now);
            }
        }
        settleAbsent(target, report);
    }

    /**
     * Settles the runs that a complete report lists neither as running nor as ended: their ends were counted, or were
     * lost with an earlier incarnation. A report that was requested before the end was concluded may be from before the
     * run.
     */
    private void settleAbsent(TargetState target, TargetReport report) {
        for (UnreportedRun each : List.copyOf(target.unreportedRuns)) {
            boolean later = report.requestNanos() - each.concludedNanos() > 0;
            if (later && report.presenceOf(each.task().id, each.run()) == TargetReport.Presence.ABSENT) {
                settle(each);
            }
        }
    }

    private void settle(UnreportedRun run) {
        run.settle();
        outbox.markChanged(run.task().step.job);
    }

    /** Handles the expiry of the lease of {@code target}: its runs have ended, and no end of one is still to count. */
    void handleLeaseExpiry(TargetState target, ClockReading now) {
        target.clearStrayRuns();
        List.copyOf(target.unreportedRuns).forEach(this::settle);
        for (TaskExecution task : List.copyOf(target.tasks.values())) {
            taskLifecycle.requeue(task, now);
        }
    }

    /** Records that a target has started a run of the job. Has no effect if the job is unknown. */
    void recordBegun(String id) {
        JobExecution job = findJob.apply(id);
        if (job != null && job.begin()) {
            outbox.markChanged(job);
        }
    }

    private void stopStray(TargetState target, TaskExecution task, TargetReport.Running run) {
        target.hasStrayRuns = true;
        if (task != null) {
            target.strayDemand = target.strayDemand.plus(task.demand());
        }
        countStray(target, run.task());
        LOG.infof(
                "run: request=%s task=%s run=%s target=%s outcome=stray",
                run.task().job(), run.task(), run.run(), target.id);
        outbox.addStop(target.id, target.incarnation, run.task(), run.run());
    }

    /** Counts a stray run against the limit of its account, also if its occurrence is done. */
    private void countStray(TargetState target, TaskId id) {
        JobExecution job = findJob.apply(id.job());
        if (job != null && id.step() >= 0 && id.step() < job.spec.steps().size()) {
            target.addStrayRun(job.spec, job.spec.steps().get(id.step()).demand());
        }
    }

    /** Returns the task, or null if it is unknown. */
    private TaskExecution findTask(TaskId id) {
        JobExecution job = findJob.apply(id.job());
        return job == null ? null : job.task(id);
    }

    private void recordProgress(TaskExecution task, TargetReport.Running run, ClockReading now) {
        if (!run.checkpoint().isEmpty()) {
            taskLifecycle.saveCheckpoint(task, run.checkpoint());
        }
        if (task.phase == Phase.STARTING) {
            confirmStart(task, now);
        }
        if (task.phase == Phase.STOPPING) {
            if (now.millisSince(task.stopSentNanos) > STOP_RETRY_MILLIS) {
                taskLifecycle.stop(task, now);
            }
            return;
        }
        task.recordProgress(run.percent(), now.monotonicNanos());
        estimates.recordProgress(task, now);
        runMonitor.checkProgress(task, now);
    }

    /** Records that the newest run of the task has started. */
    static void confirmStart(TaskExecution task, ClockReading now) {
        task.confirmRun(now.monotonicNanos());
        if (task.phase == Phase.STARTING) {
            task.target.put(task, Phase.RUNNING);
        }
    }

    /** Requeues the tasks of other incarnations, and clears the exclusion and failures of the target. */
    private void handleRestart(TargetState target, long incarnation, ClockReading now) {
        if (incarnation == target.incarnation) {
            return;
        }
        target.incarnation = incarnation;
        estimates.resetSpeed(target, now);
        target.clearStrayRuns();
        target.failureScore = 0;
        target.lastSuccessNanos = 0;
        target.lastFailedJob = "";
        target.excludedUntilNanos = now.monotonicNanos();
        target.suspectedUntilNanos = now.monotonicNanos();
        for (TaskExecution task : List.copyOf(target.tasks.values())) {
            if (task.phase == Phase.RESERVED || task.incarnation != incarnation) {
                taskLifecycle.requeue(task, now);
            }
        }
    }
}
