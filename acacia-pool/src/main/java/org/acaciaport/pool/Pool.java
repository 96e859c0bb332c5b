package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jboss.logging.Logger;

/**
 * The scheduler of a pool: the state of its jobs and targets, and the decisions about them.
 *
 * <p>Does no I/O and reads no clock, so decisions are deterministic: the same events with the same clock readings lead
 * to the same decisions. Guarantees that at most one run of a task is active on all targets together, unless the step
 * is speculative. Mutable and not thread-safe.
 */
public final class Pool {
    private static final Logger LOG = Logger.getLogger(Pool.class);

    /** Time after which a stop command is sent again if the run is still reported, in milliseconds. */
    private static final long STOP_RETRY_MILLIS = 300;

    private final Map<String, JobExecution> jobs = new LinkedHashMap<>();
    private final Map<String, TargetState> targets = new TreeMap<>();
    private final TargetHealth targetHealth = new TargetHealth();
    private final Outbox outbox = new Outbox();
    private final TaskLifecycle taskLifecycle = new TaskLifecycle(outbox, targetHealth);
    private final PlacementPass.Context passContext = new PlacementPass.Context(outbox, targetHealth, taskLifecycle);
    private PoolSettings settings = PoolSettings.EMPTY;

    /** Replaces the operator-defined settings. */
    public void configure(PoolSettings settings) {
        this.settings = settings;
    }

    /**
     * Adds a target or updates its registration data. The target receives work only after a report of the registered
     * incarnation.
     */
    public void register(TargetInfo info) {
        TargetState target = targets.computeIfAbsent(info.id(), TargetState::new);
        target.info = info;
        target.registered = true;
    }

    /** Removes the registration of a target. The target receives no new work, but its active runs may continue. */
    public void unregister(String id) {
        TargetState target = targets.get(id);
        if (target == null) {
            return;
        }
        target.registered = false;
        if (target.tasks.isEmpty()) {
            targets.remove(id);
        }
    }

    /** Adds a job. Has no effect if the pool already has a job with this id. */
    public void submit(Job job) {
        if (jobs.putIfAbsent(job.id(), new JobExecution(job)) == null) {
            LOG.infof(
                    "accept: request=%s queue=%s account=%s priority=%s steps=%s",
                    job.id(),
                    job.queue(),
                    job.account(),
                    job.terms().priority(),
                    job.steps().size());
        }
    }

    /**
     * Adds a job with its persisted progress. Runs recorded in it count as active until a report or the expiry of the
     * lease shows otherwise. Progress of a task that the job does not have is ignored.
     */
    public void restore(Job job, JobProgress progress, ClockReading now) {
        JobExecution execution = new JobExecution(job);
        execution.state = progress.state();
        execution.endedMillis = progress.endedMillis();
        execution.doneOccurrences.addAll(progress.doneOccurrences());
        jobs.put(job.id(), execution);
        for (JobProgress.Task persisted : progress.tasks()) {
            restore(execution, persisted, now);
        }
    }

    private void restore(JobExecution execution, JobProgress.Task persisted, ClockReading now) {
        if (!hasTask(execution.spec, persisted)) {
            LOG.warnf("restore: request=%s outcome=ignored task=%s", execution.spec.id(), persisted);
            return;
        }
        StepExecution step = execution.occurrence(persisted.occurrence()).get(persisted.step());
        TaskExecution task = step.tasks.get(persisted.index());
        task.lastRun = persisted.lastRun();
        task.failures = persisted.failures();
        task.checkpoint = persisted.saved();
        if (persisted.done()) {
            task.phase = Phase.DONE;
            step.doneTaskCount++;
        } else if (!persisted.target().isEmpty()) {
            TargetState target = targets.computeIfAbsent(persisted.target(), TargetState::new);
            task.incarnation = persisted.incarnation();
            task.confirmedNanos = now.monotonicNanos();
            task.lastProgressNanos = now.monotonicNanos();
            target.put(task, execution.state.isTerminal() ? Phase.STOPPING : Phase.RUNNING);
        }
    }

    private static boolean hasTask(Job job, JobProgress.Task task) {
        return isIndex(task.occurrence(), job.occurrenceCount())
                && isIndex(task.step(), job.steps().size())
                && isIndex(task.index(), job.steps().get(task.step()).count());
    }

    private static boolean isIndex(int value, int size) {
        return value >= 0 && value < size;
    }

    /** Cancels a job and stops its runs. Has no effect if the job is unknown or has ended. */
    public void cancel(String id, ClockReading now) {
        JobExecution job = jobs.get(id);
        if (job == null || job.state.isTerminal()) {
            return;
        }
        job.end(JobState.CANCELLED, now.wallClockMillis());
        taskLifecycle.stopAll(job, now);
        outbox.markChanged(job);
        LOG.infof("cancel: request=%s outcome=stopping", id);
    }

    /**
     * Handles a report of a target. Reports must come in the order in which they were taken: one of another incarnation
     * means a restart, and the incarnation may be lower then, if the target's clock was set back.
     */
    public void handleReport(TargetReport report, ClockReading now) {
        TargetState target = targets.computeIfAbsent(report.target(), TargetState::new);
        adoptRuns(target, report);
        handleRestart(target, report.incarnation(), now);
        long lastNumber = 0;
        for (TargetReport.Ended end : report.ended()) {
            taskLifecycle.handleEnd(findTask(end.task()), target, end, now);
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

    /** Compares the reported runs with the expected ones: stops stray runs and requeues tasks whose run is absent. */
    private void reconcileRunning(TargetState target, TargetReport report, ClockReading now) {
        Set<TaskId> reported = new HashSet<>();
        target.clearStrayRuns();
        for (TargetReport.Running run : report.running()) {
            TaskExecution task = findTask(run.task());
            if (task == null || task.target != target || task.lastRun != run.run() || !task.phase.mayOccupyTarget()) {
                stopStray(target, task, run);
                continue;
            }
            reported.add(task.id);
            recordProgress(target, task, run, now);
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
    }

    private void stopStray(TargetState target, TaskExecution task, TargetReport.Running run) {
        target.hasStrayRuns = true;
        if (task != null) {
            target.strayDemand = target.strayDemand.plus(task.demand());
        }
        LOG.infof(
                "run: request=%s task=%s run=%s target=%s outcome=stray",
                run.task().job(), run.task(), run.run(), target.id);
        outbox.addStop(target.id, target.incarnation, run.task(), run.run());
    }

    private void recordProgress(TargetState target, TaskExecution task, TargetReport.Running run, ClockReading now) {
        if (!run.checkpoint().isEmpty()) {
            taskLifecycle.saveCheckpoint(task, run.checkpoint());
        }
        if (task.phase == Phase.STARTING) {
            confirmStart(target, task, now);
        }
        if (task.phase == Phase.STOPPING) {
            if (now.millisSince(task.stopSentNanos) > STOP_RETRY_MILLIS) {
                taskLifecycle.stop(task, now);
            }
            return;
        }
        task.recordProgress(run.percent(), now.monotonicNanos());
        taskLifecycle.checkProgress(task, now);
    }

    private void confirmStart(TargetState target, TaskExecution task, ClockReading now) {
        task.confirmRun(now.monotonicNanos());
        if (task.phase == Phase.STARTING) {
            target.put(task, Phase.RUNNING);
        }
    }

    /** Returns whether a start that has not been sent yet is still to be sent. */
    public boolean isWanted(TargetCommand.Start start) {
        TaskExecution task = currentTask(start);
        return task != null && task.phase == Phase.STARTING;
    }

    /** Handles the confirmation of a start by the target. Ignores confirmations of runs that are no longer current. */
    public void handleStarted(TargetCommand.Start start, ClockReading now) {
        TaskExecution task = currentTask(start);
        if (task != null && task.confirmedNanos == 0) {
            confirmStart(task.target, task, now);
        }
    }

    /**
     * Handles the definite failure of a start: the run was not started and never will be.
     *
     * @param reason reason of the failure, for the log
     * @param exclusionMillis time during which the target receives no new work, in milliseconds; 0 for none
     */
    public void handleStartFailure(TargetCommand.Start start, String reason, long exclusionMillis, ClockReading now) {
        TaskExecution task = currentTask(start);
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=refused reason=%s",
                start.task().job(), start.task(), start.run(), start.target(), reason);
        exclude(start.target(), exclusionMillis, now);
        if (task != null) {
            taskLifecycle.requeue(task, now);
        }
    }

    /** Returns the task, or null if it is unknown. */
    private TaskExecution findTask(TaskId id) {
        JobExecution job = jobs.get(id.job());
        return job == null ? null : job.task(id);
    }

    /** Returns the task of {@code start}, or null if that start is not its newest active run. */
    private TaskExecution currentTask(TargetCommand.Start start) {
        TaskExecution task = findTask(start.task());
        boolean current = task != null
                && task.phase.mayOccupyTarget()
                && task.lastRun == start.run()
                && task.target.id.equals(start.target());
        return current ? task : null;
    }

    /** Excludes a target from new work for {@code millis} milliseconds. Never shortens an exclusion. */
    public void exclude(String id, long millis, ClockReading now) {
        TargetState target = targets.get(id);
        if (target != null && millis > 0) {
            TargetHealth.exclude(target, now.nanosAfter(millis));
        }
    }

    /** Handles the expiry of the lease of a target: none of the runs sent to it so far is still active. */
    public void handleLeaseExpiry(String id, ClockReading now) {
        TargetState target = targets.get(id);
        if (target == null) {
            return;
        }
        target.clearStrayRuns();
        for (TaskExecution task : List.copyOf(target.tasks.values())) {
            taskLifecycle.requeue(task, now);
        }
        if (!target.registered) {
            targets.remove(id);
        }
    }

    /** Requeues the tasks of other incarnations, and clears the exclusion and failures of the target. */
    private void handleRestart(TargetState target, long incarnation, ClockReading now) {
        if (incarnation == target.incarnation) {
            return;
        }
        target.incarnation = incarnation;
        target.clearStrayRuns();
        target.failureScore = 0;
        target.lastSuccessNanos = 0;
        target.excludedUntilNanos = now.monotonicNanos();
        for (TaskExecution task : List.copyOf(target.tasks.values())) {
            if (task.phase == Phase.RESERVED || task.incarnation != incarnation) {
                taskLifecycle.requeue(task, now);
            }
        }
    }

    /** Runs a scheduling pass: places waiting tasks and decides which runs to stop. */
    public void schedule(ClockReading now) {
        targets.values().forEach(target -> taskLifecycle.evictBeforeDeparture(target, now));
        new PlacementPass(passContext, jobs.values(), targets.values(), settings, now).run();
    }

    /** Returns and clears the records to persist, with the actions that are allowed once they are durable. */
    public Batch takeBatch() {
        return outbox.takeBatch();
    }

    /** Returns and clears the stop commands to send. */
    public List<TargetCommand.Stop> takeStops() {
        return outbox.takeStops();
    }

    /** Returns the unfinished work and the use of capacity. */
    public Backlog backlog() {
        return Backlog.of(jobs.values(), targets.values());
    }

    /** Returns the ready steps whose tasks have been without a run for longest, and what they wait for. */
    public List<WaitingStep> longestWaitingSteps(ClockReading now) {
        return WaitingStep.longest(jobs.values(), targets.values(), settings, now);
    }

    /** Returns the ids of the targets that may have active runs, stray ones included. */
    public Collection<String> occupiedTargets() {
        List<String> ids = new ArrayList<>();
        for (TargetState target : targets.values()) {
            if (target.hasStrayRuns || target.tasks.values().stream().anyMatch(task -> task.phase.mayOccupyTarget())) {
                ids.add(target.id);
            }
        }
        return ids;
    }

    /**
     * Returns the ids of jobs without active runs that ended before {@code millis}.
     *
     * @param millis wall clock, in milliseconds since the Unix epoch
     */
    public List<String> jobsEndedBefore(long millis) {
        List<String> ids = new ArrayList<>();
        for (JobExecution job : jobs.values()) {
            if (job.state.isTerminal()
                    && job.endedMillis < millis
                    && job.tasks().stream().noneMatch(task -> task.phase.mayOccupyTarget())) {
                ids.add(job.spec.id());
            }
        }
        return ids;
    }

    /** Removes a job that has ended. */
    public void removeJob(String id) {
        jobs.remove(id);
        targetHealth.removeJob(id);
    }
}
