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
 * All jobs and targets of one service pool, and the decisions about them.
 *
 * <p>Not safe for use by several threads. Does no I/O and reads no clock: the same events at the same moments lead to
 * the same decisions. Invariant: at most one run of a task may be on any target, unless the step allows copies.
 */
public final class Pool {
    private static final Logger LOG = Logger.getLogger(Pool.class);

    /** Time after which a stop that has not worked is sent again, in milliseconds. */
    private static final long STOP_AGAIN_MILLIS = 300;

    private final Map<String, JobRun> jobs = new LinkedHashMap<>();
    private final Map<String, TargetRun> targets = new TreeMap<>();
    private final Suspicion suspicion = new Suspicion();
    private final Outbox outbox = new Outbox();
    private final Ends ends = new Ends(outbox, suspicion);
    private final PlacementPass.Parts parts = new PlacementPass.Parts(outbox, suspicion, ends);
    private PoolSettings settings = PoolSettings.EMPTY;

    /** Replaces what operators have configured. */
    public void configure(PoolSettings settings) {
        this.settings = settings;
    }

    /** Takes note of a target's registration. It gets work only once a report of the same life has come. */
    public void register(TargetInfo info) {
        TargetRun target = targets.computeIfAbsent(info.id(), TargetRun::new);
        target.info = info;
        target.registered = true;
    }

    /** Takes note that a target's registration is gone. What it runs may go on. */
    public void unregister(String id) {
        TargetRun target = targets.get(id);
        if (target == null) {
            return;
        }
        target.registered = false;
        if (target.occupants.isEmpty()) {
            targets.remove(id);
        }
    }

    /** Adds a job; one that is there already is left as it is. */
    public void submit(Job job) {
        if (jobs.putIfAbsent(job.id(), new JobRun(job)) == null) {
            LOG.infof(
                    "accept: request=%s queue=%s account=%s priority=%s steps=%s",
                    job.id(),
                    job.queue(),
                    job.account(),
                    job.terms().priority(),
                    job.steps().size());
        }
    }

    /** Adds a job with its durable progress. Its runs may still be there until reports tell. */
    public void restore(Job job, JobProgress progress, ClockReading now) {
        JobRun run = new JobRun(job);
        run.state = progress.state();
        run.endedMillis = progress.endedMillis();
        run.doneOccurrences.addAll(progress.doneOccurrences());
        jobs.put(job.id(), run);
        for (JobProgress.Task saved : progress.tasks()) {
            restore(run, saved, now);
        }
    }

    private void restore(JobRun run, JobProgress.Task saved, ClockReading now) {
        StepRun step = run.occurrence(saved.occurrence()).get(saved.step());
        TaskRun task = step.tasks.get(saved.index());
        task.lastRun = saved.lastRun();
        task.failures = saved.failures();
        task.saved = saved.saved();
        if (saved.done()) {
            task.phase = Phase.DONE;
            step.doneTasks++;
        } else if (!saved.target().isEmpty()) {
            TargetRun target = targets.computeIfAbsent(saved.target(), TargetRun::new);
            task.incarnation = saved.incarnation();
            task.confirmedNanos = now.monotonicNanos();
            task.advancedNanos = now.monotonicNanos();
            target.put(task, run.state.isTerminal() ? Phase.STOPPING : Phase.RUNNING);
        }
    }

    /** Cancels a job, unless it has ended. */
    public void cancel(String id, ClockReading now) {
        JobRun job = jobs.get(id);
        if (job == null || job.state.isTerminal()) {
            return;
        }
        job.end(JobState.CANCELLED, now.wallClockMillis());
        ends.stopAll(job, now);
        outbox.changed(job);
        LOG.infof("cancel: request=%s outcome=stopping", id);
    }

    /** Takes note of what a target said. Reports of an earlier life than the newest known are ignored. */
    public void handleReport(TargetReport report, ClockReading now) {
        TargetRun target = targets.computeIfAbsent(report.target(), TargetRun::new);
        if (report.incarnation() < target.incarnation) {
            return;
        }
        adopt(target, report);
        reborn(target, report.incarnation(), now);
        long upTo = 0;
        for (TargetReport.Ended end : report.ended()) {
            ends.settle(find(end.task()), target, end, now);
            upTo = end.number();
        }
        if (upTo > 0) {
            outbox.acknowledge(target.id, target.incarnation, upTo);
        }
        running(target, report, now);
    }

    /** A start may have reached a later life than it was meant for; such runs are kept. */
    private void adopt(TargetRun target, TargetReport report) {
        for (TargetReport.Running run : report.running()) {
            TaskRun task = target.occupants.get(run.task());
            if (task != null && task.lastRun == run.run() && task.phase.occupies()) {
                task.incarnation = report.incarnation();
            }
        }
    }

    private void running(TargetRun target, TargetReport report, ClockReading now) {
        Set<TaskId> seen = new HashSet<>();
        target.strays = Resources.NONE;
        for (TargetReport.Running run : report.running()) {
            TaskRun task = find(run.task());
            if (task == null || task.target != target || task.lastRun != run.run() || !task.phase.occupies()) {
                stray(target, task, run);
                continue;
            }
            seen.add(task.id);
            progress(target, task, run, now);
        }
        for (TaskRun task : List.copyOf(target.occupants.values())) {
            boolean known = task.phase == Phase.RUNNING || task.phase == Phase.STOPPING;
            boolean confirmed = task.confirmedNanos != 0 && task.confirmedNanos < report.requestNanos();
            if (known && confirmed && !seen.contains(task.id)) {
                LOG.infof(
                        "run: request=%s task=%s run=%s target=%s outcome=absent",
                        task.id.job(), task.id, task.lastRun, target.id);
                ends.over(task, now);
            }
        }
    }

    private void stray(TargetRun target, TaskRun task, TargetReport.Running run) {
        if (task != null) {
            target.strays = target.strays.plus(task.demand());
        }
        LOG.infof(
                "run: request=%s task=%s run=%s target=%s outcome=stray",
                run.task().job(), run.task(), run.run(), target.id);
        outbox.stop(target.id, target.incarnation, run.task(), run.run());
    }

    private void progress(TargetRun target, TaskRun task, TargetReport.Running run, ClockReading now) {
        if (!run.checkpoint().isEmpty()) {
            ends.save(task, run.checkpoint());
        }
        if (task.phase == Phase.STARTING) {
            confirm(target, task, now);
        }
        if (task.phase == Phase.STOPPING) {
            if (now.millisSince(task.stopNanos) > STOP_AGAIN_MILLIS) {
                ends.stop(task, now);
            }
            return;
        }
        task.advance(run.percent(), now.monotonicNanos());
        ends.stopIfStuck(task, now);
    }

    private void confirm(TargetRun target, TaskRun task, ClockReading now) {
        task.begin(now.monotonicNanos());
        if (task.phase == Phase.STARTING) {
            target.put(task, Phase.RUNNING);
        }
    }

    /** Takes note that a target confirmed a start. */
    public void handleStarted(TargetCommand.Start start, ClockReading now) {
        TaskRun task = current(start);
        if (task != null && task.confirmedNanos == 0) {
            confirm(task.target, task, now);
        }
    }

    /**
     * Takes note that a run did not start and never will.
     *
     * @param avoidMillis time in which no new work goes to that target, in milliseconds
     */
    public void handleStartFailure(TargetCommand.Start start, String reason, long avoidMillis, ClockReading now) {
        TaskRun task = current(start);
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=refused reason=%s",
                start.task().job(), start.task(), start.run(), start.target(), reason);
        exclude(start.target(), avoidMillis, now);
        if (task != null) {
            ends.over(task, now);
        }
    }

    /** Returns the task, or null if there is none of that name. */
    private TaskRun find(TaskId id) {
        JobRun job = jobs.get(id.job());
        return job == null ? null : job.task(id);
    }

    private TaskRun current(TargetCommand.Start start) {
        TaskRun task = find(start.task());
        boolean same = task != null
                && task.phase.occupies()
                && task.lastRun == start.run()
                && task.target.id.equals(start.target());
        return same ? task : null;
    }

    /** Sends no new work to a target for {@code millis} milliseconds. */
    public void exclude(String id, long millis, ClockReading now) {
        TargetRun target = targets.get(id);
        if (target != null && millis > 0) {
            Suspicion.avoid(target, now.nanosAfter(millis));
        }
    }

    /** Takes note that nothing sent to this target so far runs any more. */
    public void handleLeaseExpiry(String id, ClockReading now) {
        TargetRun target = targets.get(id);
        if (target == null) {
            return;
        }
        for (TaskRun task : List.copyOf(target.occupants.values())) {
            ends.over(task, now);
        }
        if (!target.registered) {
            targets.remove(id);
        }
    }

    private void reborn(TargetRun target, long incarnation, ClockReading now) {
        if (incarnation <= target.incarnation) {
            return;
        }
        target.incarnation = incarnation;
        target.strays = Resources.NONE;
        target.strikes = 0;
        target.avoidUntilNanos = now.monotonicNanos();
        for (TaskRun task : List.copyOf(target.occupants.values())) {
            if (task.phase == Phase.ASSIGNED || task.incarnation < incarnation) {
                ends.over(task, now);
            }
        }
    }

    /** Decides what runs next. */
    public void schedule(ClockReading now) {
        targets.values().forEach(target -> ends.moveOff(target, now));
        new PlacementPass(parts, jobs.values(), targets.values(), settings, now).run();
    }

    /** Returns what is to be made durable now, and what depends on it. */
    public Batch takeBatch() {
        return outbox.takeBatch();
    }

    /** Returns the stops to send. */
    public List<TargetCommand.Stop> takeStops() {
        return outbox.takeStops();
    }

    /** Returns the targets that may run something that was sent to them. */
    public Collection<String> occupiedTargets() {
        List<String> ids = new ArrayList<>();
        for (TargetRun target : targets.values()) {
            if (target.occupants.values().stream().anyMatch(task -> task.phase.occupies())) {
                ids.add(target.id);
            }
        }
        return ids;
    }

    /** Returns the jobs that ended before {@code millis}, in milliseconds since 1970, with no run left. */
    public List<String> jobsEndedBefore(long millis) {
        List<String> ids = new ArrayList<>();
        for (JobRun job : jobs.values()) {
            if (job.state.isTerminal()
                    && job.endedMillis < millis
                    && job.tasks().stream().noneMatch(task -> task.phase.occupies())) {
                ids.add(job.job.id());
            }
        }
        return ids;
    }

    /** Drops a job that has ended. */
    public void removeJob(String id) {
        jobs.remove(id);
        suspicion.forget(id);
    }
}
