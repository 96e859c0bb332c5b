package org.acaciaport.pool;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.admission.Outlook;
import org.acaciaport.estimate.EstimatesSnapshot;
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

    private final Map<String, JobExecution> jobs = new LinkedHashMap<>();
    private final AccountUsage accountUsage = new AccountUsage();
    private final TargetStates targets = new TargetStates(accountUsage);
    private final LimitMonitor limitMonitor = new LimitMonitor();
    private final TargetHealth targetHealth = new TargetHealth();
    private final Outbox outbox = new Outbox();
    private final RunEstimates estimates = new RunEstimates();
    private final TaskLifecycle taskLifecycle = new TaskLifecycle(outbox, targetHealth, estimates);
    private final EstimateErrors estimateErrors = new EstimateErrors();
    private final DeclaredDurations declaredDurations = new DeclaredDurations();
    private final RunEndHandler runEndHandler =
            new RunEndHandler(outbox, targetHealth, estimates, taskLifecycle, estimateErrors, declaredDurations);
    private final RunMonitor runMonitor = new RunMonitor(targetHealth, estimateErrors, taskLifecycle);
    private final ReportHandler reportHandler =
            new ReportHandler(outbox, taskLifecycle, runEndHandler, runMonitor, estimates, jobs::get);
    private final StartOutcomes startOutcomes =
            new StartOutcomes(jobs::get, taskLifecycle, reportHandler, this::isWithinLimit);
    private final PlacementPass.Context passContext =
            new PlacementPass.Context(outbox, targetHealth, taskLifecycle, accountUsage, limitMonitor, estimates);
    private final QueueServices queueServices = new QueueServices(taskLifecycle);
    private PoolFeatures features = PoolFeatures.ALL;

    /** The settings as the operators define them. */
    private PoolSettings configured = PoolSettings.EMPTY;

    /** The settings in force: those of the operators, without limits if these are not in use. */
    private PoolSettings settings = PoolSettings.EMPTY;

    private SearchEffort lastEffort = new SearchEffort();

    /**
     * Replaces the operator-defined settings. Unfinished jobs follow their queues to other services; what runs stays
     * where it is.
     */
    public void configure(PoolSettings settings) {
        configured = settings;
        applySettings();
        queueServices.configure(settings.queueServices(), jobs.values());
    }

    /**
     * Records that the settings are at least as new as the newest ones at {@code asOf}. A job that the pool got later
     * may have been accepted under newer settings, so it does not start while they name another service for its queue.
     */
    public void confirmSettings(ClockReading asOf) {
        queueServices.confirm(asOf);
    }

    /** Returns whether a job waits for {@link #confirmSettings} to tell that the settings are newer than the job. */
    public boolean awaitsSettings() {
        return queueServices.awaitsConfirmation();
    }

    /**
     * Returns and clears the services of the jobs that have followed their queues to other services, by job. They are
     * to be persisted no later than the next batch.
     */
    public Map<String, String> takeMovedJobs() {
        return queueServices.takeMovedJobs();
    }

    /**
     * Sets which optional parts are in use; all of them until the first call. What has been learned is kept while it is
     * not in use, and objectives of the jobs that the pool has stay as they are.
     */
    public void use(PoolFeatures features, ClockReading now) {
        if (features.equals(this.features)) {
            return;
        }
        LOG.infof("pool: features=%s", features);
        this.features = features;
        estimates.setLearning(features.learnedRunTimes());
        estimates.setSpeedPlacement(features.speedPlacement());
        targets.all().forEach(target -> estimates.resetSpeed(target, now));
        applySettings();
    }

    private void applySettings() {
        settings = features.accountLimits() ? configured : configured.withoutLimits();
    }

    /** Returns what has been learned of durations and speeds, for the log. */
    public EstimatesSnapshot estimatesSnapshot() {
        return estimates.snapshot();
    }

    /**
     * Replaces what has been learned of durations and speeds by {@code snapshot}; never fails. To be called before jobs
     * are added, as their objectives go by it. A target gets the speed of the snapshot once it reports the incarnation
     * for which that was learned.
     *
     * @return number of lines that were dropped because they are missing, malformed or out of range
     */
    public int restoreEstimates(EstimatesSnapshot snapshot, ClockReading now) {
        int dropped = estimates.restore(snapshot);
        targets.all().forEach(target -> estimates.resetSpeed(target, now));
        return dropped;
    }

    /** Returns how good the estimates are. */
    public EstimateSummary estimateSummary() {
        return EstimateSummary.of(estimates.accuracy(), targets.all());
    }

    /**
     * Adds a target or updates its registration data. The target receives work only after a report of the registered
     * incarnation.
     */
    public void register(TargetInfo info) {
        targets.register(info);
    }

    /** Removes the registration of a target. The target receives no new work, but its active runs may continue. */
    public void unregister(String id) {
        targets.unregister(id);
    }

    /** Adds a job. Has no effect if the pool already has a job with this id. */
    public void submit(Job job, ClockReading now) {
        JobExecution execution = new JobExecution(job, estimates);
        if (jobs.putIfAbsent(job.id(), execution) == null) {
            queueServices.add(execution, now);
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
     * Adds a job, with the last service that it has moved to, and its persisted progress. Runs recorded in it count as
     * active until a report or the expiry of the lease shows otherwise. Progress of a task that the job does not have,
     * or of an occurrence that is done, is ignored. The progress may be that of a part of a batch.
     */
    public void restore(Job job, JobProgress progress, ClockReading now) {
        JobExecution execution = new JobExecution(job, estimates);
        jobs.put(job.id(), execution);
        new JobRestorer(targets::findOrAdd, now).restore(execution, progress);
        queueServices.add(execution, now);
        taskLifecycle.completeRestored(execution, now);
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
        reportHandler.handle(targets.findOrAdd(report.target()), report, now);
    }

    /**
     * Returns whether a start that has not been sent yet is still to be sent. It is not if the limit of its account has
     * become lower than what the account would have running with it.
     */
    public boolean isWanted(TargetCommand.Start start) {
        return startOutcomes.isWanted(start);
    }

    private boolean isWithinLimit(String account) {
        return settings.terms(account).isWithinLimit(accountUsage.running(account));
    }

    /**
     * Handles the confirmation of a start by the target. Of a run that is no longer current, it shows only that the job
     * has begun.
     */
    public void handleStarted(TargetCommand.Start start, ClockReading now) {
        startOutcomes.handleStarted(start, now);
    }

    /**
     * Handles the definite failure of a start: the run was not started and never will be.
     *
     * @param reason reason of the failure, for the log
     * @param exclusionMillis time during which the target receives no new work, in milliseconds; 0 for none
     */
    public void handleStartFailure(TargetCommand.Start start, String reason, long exclusionMillis, ClockReading now) {
        exclude(start.target(), exclusionMillis, now);
        startOutcomes.handleFailure(start, reason, now);
    }

    /** Excludes a target from new work for {@code millis} milliseconds. Never shortens an exclusion. */
    public void exclude(String id, long millis, ClockReading now) {
        TargetState target = targets.find(id);
        if (target != null && millis > 0) {
            TargetHealth.exclude(target, now.nanosAfter(millis));
        }
    }

    /** Handles the expiry of a lease: the runs of the target are over. Excludes it for {@code exclusionMillis}. */
    public void handleLeaseExpiry(String id, long exclusionMillis, ClockReading now) {
        exclude(id, exclusionMillis, now);
        TargetState target = targets.find(id);
        if (target == null) {
            return;
        }
        reportHandler.handleLeaseExpiry(target, now);
        targets.removeUnlessRegistered(target);
    }

    /** Runs a scheduling pass: places waiting tasks and decides which runs to stop. */
    public void schedule(ClockReading now) {
        targets.all().forEach(target -> runMonitor.evictBeforeDeparture(target, now));
        lastEffort = new PlacementPass(passContext, jobs.values(), targets.all(), settings, now).run();
    }

    /** Returns what the newest scheduling pass cost. */
    SearchEffort lastEffort() {
        return lastEffort;
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
        return Backlog.of(jobs.values(), targets.all(), limitMonitor.heldBackTasks());
    }

    /** Returns when more work could start, as far as that can be expected from the runs and the waiting work. */
    public Outlook outlook(ClockReading now) {
        return OutlookBuilder.build(jobs.values(), targets.all(), settings, accountUsage, estimates, now);
    }

    /** Returns the 90th percentile of actual by declared durations of the latest steps of each queue, in percent. */
    public Map<String, Integer> declaredDurationPercents() {
        return declaredDurations.percentByQueue();
    }

    /** Returns the ready steps whose tasks have been without a run for longest, and what they wait for. */
    public List<WaitingStep> longestWaitingSteps(ClockReading now) {
        return WaitingStep.longest(jobs.values(), targets.all(), settings, now);
    }

    /** Returns the ids of the targets that may have active runs, stray ones included. */
    public Collection<String> occupiedTargets() {
        return targets.occupied();
    }

    /**
     * Returns the ids of jobs without active runs that ended before {@code millis}.
     *
     * @param millis wall clock, in milliseconds since the Unix epoch
     */
    public List<String> jobsEndedBefore(long millis) {
        return jobs.values().stream()
                .filter(job -> job.hasEndedBefore(millis))
                .map(job -> job.spec.id())
                .toList();
    }

    /** Removes a job that has ended. */
    public void removeJob(String id) {
        jobs.remove(id);
        targetHealth.removeJob(id);
    }
}
