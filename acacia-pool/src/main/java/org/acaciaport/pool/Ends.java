package org.acaciaport.pool;

import java.util.List;
import org.jboss.logging.Logger;

/**
 * What the end of a run means for its task, its gang and its job.
 *
 * <p>For the pool's thread only.
 */
final class Ends {
    private static final Logger LOG = Logger.getLogger(Ends.class);

    /** Time without progress after which a run counts as stuck, in milliseconds. */
    private static final long STUCK_MILLIS = 2_500;

    /** Part of a task's estimated duration that is added to {@link #STUCK_MILLIS}. */
    private static final double STUCK_SHARE = 0.1;

    private static final int ALL_DONE_PERCENT = 100;

    /** Time before a target leaves at which its unfinished work is stopped, in seconds; enough for the stop. */
    private static final double MOVE_OFF_SECONDS = 0.8;

    private final Outbox outbox;
    private final Suspicion suspicion;

    Ends(Outbox outbox, Suspicion suspicion) {
        this.outbox = outbox;
        this.suspicion = suspicion;
    }

    /** Takes note of an end that {@code target} lists. Ends of older runs, or of a null task, change nothing. */
    void settle(TaskRun task, TargetRun target, TargetReport.Ended end, ClockReading now) {
        boolean here = task != null && task.lastRun == end.run() && task.phase.occupies() && task.target == target;
        boolean gone = task != null && task.lastRun == end.run() && !task.phase.occupies();
        LOG.infof(
                "end: request=%s task=%s run=%s target=%s how=%s number=%s current=%s",
                end.task().job(), end.task(), end.run(), target.id, end.reason(), end.number(), here);
        if (!here && !(gone && end.reason() == TargetReport.EndReason.DONE && task.phase != Phase.DONE)) {
            return;
        }
        if (!end.checkpoint().isEmpty()) {
            save(task, end.checkpoint());
        }
        outbox.changed(task.step.job);
        switch (end.reason()) {
            case DONE -> {
                suspicion.succeeded(target);
                done(task, now);
            }
            case FAILED -> {
                suspicion.failed(task.id.job(), target, now);
                failed(task, now);
            }
            case STOPPED, LAPSED, BROKEN, ALONE -> over(task, now);
        }
    }

    /** Keeps a checkpoint; one member's is good for its whole gang. */
    void save(TaskRun task, String saved) {
        if (!task.step.spec.mode().gang()) {
            task.saved = saved;
            return;
        }
        for (TaskRun member : task.step.tasks) {
            member.saved = saved;
        }
    }

    private void done(TaskRun task, ClockReading now) {
        StepRun step = task.step;
        if (step.job.state.isTerminal()) {
            release(task, Phase.WAITING);
            return;
        }
        if (step.spec.mode().lasting()) {
            over(task, now);
            return;
        }
        if (!step.spec.mode().gang()) {
            finish(task);
        } else {
            step.tasks.forEach(this::finish);
        }
        JobRun job = step.job;
        if (job.occurrence(step.occurrence).stream().allMatch(StepRun::done)) {
            job.close(step.occurrence, now.wallClockMillis());
            if (job.state == JobState.DONE) {
                suspicion.forget(job.job.id());
                LOG.infof("done: request=%s age_ms=%s", job.job.id(), now.wallClockMillis() - job.job.acceptedMillis());
            }
        }
    }

    private void finish(TaskRun task) {
        if (task.phase == Phase.DONE) {
            return;
        }
        release(task, Phase.DONE);
        task.step.doneTasks++;
    }

    private void failed(TaskRun task, ClockReading now) {
        StepRun step = task.step;
        TaskRun counter = step.spec.mode().gang() ? step.tasks.get(0) : task;
        if (step.failedRun != task.lastRun || !step.spec.mode().gang()) {
            counter.failures++;
            step.failedRun = task.lastRun;
        }
        JobRun job = step.job;
        boolean spent = !step.spec.mode().lasting()
                && counter.failures >= job.job.terms().attempts();
        over(task, now);
        if (spent && !job.state.isTerminal()) {
            job.end(JobState.FAILED, now.wallClockMillis());
            stopAll(job, now);
            LOG.infof("fail: request=%s task=%s failures=%s", job.job.id(), task.id, counter.failures);
        }
    }

    /** Takes the run off its target; the task waits again, and the rest of its gang stops. */
    void over(TaskRun task, ClockReading now) {
        boolean ran = task.phase.occupies();
        release(task, Phase.WAITING);
        outbox.changed(task.step.job);
        if (!task.step.spec.mode().gang()) {
            return;
        }
        for (TaskRun member : task.step.tasks) {
            if (ran || member.phase == Phase.ASSIGNED) {
                withdraw(member, now);
            }
        }
    }

    /** Stops every run of {@code job} and gives back what it was promised. */
    void stopAll(JobRun job, ClockReading now) {
        suspicion.forget(job.job.id());
        job.tasks().forEach(task -> withdraw(task, now));
    }

    /** Gives back what the task was promised, or stops its run unless that was done. */
    private void withdraw(TaskRun task, ClockReading now) {
        if (task.phase == Phase.ASSIGNED) {
            unassign(task);
        } else if (task.phase == Phase.STARTING || task.phase == Phase.RUNNING) {
            stop(task, now);
        }
    }

    /** Gives back the place that the task was promised; it waits again. */
    void unassign(TaskRun task) {
        release(task, Phase.WAITING);
    }

    /** Tells the target to stop the task's run. */
    void stop(TaskRun task, ClockReading now) {
        task.stopNanos = now.monotonicNanos();
        task.target.put(task, Phase.STOPPING);
        outbox.stop(task.target.id, task.incarnation, task.id, task.lastRun);
    }

    /** Stops a run that makes no progress, so that it goes on elsewhere. */
    void stopIfStuck(TaskRun task, ClockReading now) {
        Step step = task.step.spec;
        if (step.mode().lasting() || step.mode().filling() || task.percent >= ALL_DONE_PERCENT) {
            return;
        }
        if (!task.step.movedOffSlow && task.crawls(now)) {
            task.step.movedOffSlow = true;
            moveOffSlow(task, now);
            return;
        }
        long patience = STUCK_MILLIS + (long) (STUCK_SHARE * step.estimateMillis());
        if (now.millisSince(task.advancedNanos) < patience) {
            return;
        }
        LOG.infof(
                "stop: request=%s task=%s run=%s target=%s why=stuck percent=%s",
                task.id.job(), task.id, task.lastRun, task.target.id, task.percent);
        suspicion.stuck(task.target, now);
        stop(task, now);
    }

    /** A slow target gets no new work for a while; urgent work, and work that saves its progress, goes on elsewhere. */
    private void moveOffSlow(TaskRun task, ClockReading now) {
        boolean mayMove =
                task.job().terms().priority() == 0 || task.step.spec.mode().checkpoint();
        boolean moves = mayMove && task.endsSoonerElsewhere();
        LOG.infof(
                "%s: request=%s task=%s run=%s target=%s why=slow percent=%s",
                moves ? "stop" : "keep", task.id.job(), task.id, task.lastRun, task.target.id, task.percent);
        suspicion.stuck(task.target, now);
        if (moves) {
            stop(task, now);
        }
    }

    /**
     * Stops work on a target that is about to leave, if it would not be done in time and saves its progress: it goes on
     * elsewhere from there instead of being lost.
     */
    void moveOff(TargetRun target, ClockReading now) {
        if (target.info == null || !target.info.draining() || target.info.departureNanos() == 0) {
            return;
        }
        double left = -now.secondsSince(target.info.departureNanos());
        if (left > MOVE_OFF_SECONDS) {
            return;
        }
        for (TaskRun task : List.copyOf(target.occupants.values())) {
            boolean saves = task.step.spec.mode().checkpoint();
            if (task.phase != Phase.RUNNING || !saves || task.secondsLeft(now) < left) {
                continue;
            }
            LOG.infof(
                    "stop: request=%s task=%s run=%s target=%s why=leaving",
                    task.id.job(), task.id, task.lastRun, target.id);
            stop(task, now);
        }
    }

    private void release(TaskRun task, Phase phase) {
        if (task.target != null) {
            task.target.remove(task, phase);
        }
        task.phase = phase;
        task.confirmedNanos = 0;
    }
}
