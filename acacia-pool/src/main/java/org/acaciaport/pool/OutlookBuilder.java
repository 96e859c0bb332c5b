package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.admission.Outlook;

/**
 * Derives the outlook of a pool from its state: the free capacity, the expected ends of runs, and what waits.
 *
 * <p>Takes time linear in the unfinished tasks. Created anew for each outlook. Not thread-safe; confined to the thread
 * of the pool.
 */
final class OutlookBuilder {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** How far the forecast looks ahead, in seconds. */
    private static final double HORIZON_SECONDS = ServiceForecast.HORIZON_MILLIS / MILLIS_PER_SECOND;

    /** Typical time from the stop command until a run has ended, in seconds. */
    private static final double STOP_SECONDS = 0.25;

    private final PoolSettings settings;
    private final RunEstimates estimates;
    private final ClockReading now;
    private final LimitForecast limits;
    private final List<TargetState> workingTargets = new ArrayList<>();
    private final Map<String, ServiceForecast> forecasts = new LinkedHashMap<>();

    private OutlookBuilder(PoolSettings settings, AccountUsage accountUsage, RunEstimates estimates, ClockReading now) {
        limits = new LimitForecast(settings, accountUsage);
        this.settings = settings;
        this.estimates = estimates;
        this.now = now;
    }

    /** Returns the outlook; it lists only services in which work waits and more work would. */
    static Outlook build(
            Collection<JobExecution> jobs,
            Collection<TargetState> targets,
            PoolSettings settings,
            AccountUsage accountUsage,
            RunEstimates estimates,
            ClockReading now) {
        OutlookBuilder builder = new OutlookBuilder(settings, accountUsage, estimates, now);
        for (TargetState target : targets) {
            builder.addCapacity(target);
        }
        for (TargetState target : targets) {
            builder.addRuns(target);
        }
        for (JobExecution job : jobs) {
            builder.addWaiting(job);
        }
        List<Outlook.Service> services = new ArrayList<>();
        builder.forecasts.forEach((name, forecast) -> forecast.outlook(name).ifPresent(services::add));
        return new Outlook(services);
    }

    /**
     * Returns whether the target takes work, now or soon. One that has not reported yet counts, since a new leader
     * would otherwise see too little capacity.
     */
    private boolean takesWork(TargetState target) {
        return target.registered
                && target.info != null
                && !target.info.draining()
                && target.capacity().accelerators() > 0
                && !settings.evacuatedDataCentres().contains(target.info.dataCentre());
    }

    private void addCapacity(TargetState target) {
        if (takesWork(target)) {
            workingTargets.add(target);
            forecasts
                    .computeIfAbsent(target.info.service(), name -> new ServiceForecast(limits))
                    .addCapacity(target.capacity());
        }
    }

    /** Adds what is free on a target, from the end of its exclusion on, and what its runs will free. */
    private void addRuns(TargetState target) {
        for (TaskExecution task : target.tasks.values()) {
            if (task.phase.mayOccupyTarget()) {
                limits.addRun(
                        LimitForecast.Claim.of(task.step),
                        task.job().terms().priority(),
                        ServiceForecast.intervalOf(remainingSeconds(task)),
                        ServiceForecast.intervalOf(STOP_SECONDS));
            }
        }
        if (!takesWork(target)) {
            return;
        }
        ServiceForecast forecast = forecasts.get(target.info.service());
        double free = forecast.freeAccelerators(target.freeNow());
        forecast.addFree(free, -now.secondsSince(target.openFromNanos()));
        double claimed = 0;
        for (TaskExecution task : target.tasks.values()) {
            claimed += task.phase.mayOccupyTarget() ? forecast.accelerators(task.demand()) : 0;
        }
        double used = target.capacity().accelerators() - free;
        // Runs that need different resources share the same accelerators.
        double scale = claimed > used ? used / claimed : 1;
        for (TaskExecution task : target.tasks.values()) {
            if (task.phase.mayOccupyTarget()) {
                double size = scale * forecast.accelerators(task.demand());
                forecast.addRun(task.job().terms().priority(), size, remainingSeconds(task), STOP_SECONDS);
            }
        }
    }

    /** Adds the tasks of a job without a run: those that could start, and those whose earlier steps still run. */
    private void addWaiting(JobExecution job) {
        ServiceForecast forecast = forecasts.get(job.spec.service());
        if (forecast == null || job.state.isTerminal()) {
            return;
        }
        for (List<StepExecution> steps : job.openOccurrences()) {
            double[] endSeconds = new double[steps.size()];
            for (int i = 0; i < steps.size(); i++) {
                StepExecution step = steps.get(i);
                double readySeconds = 0;
                for (int earlier : step.spec.after()) {
                    readySeconds = Math.max(readySeconds, endSeconds[earlier]);
                }
                endSeconds[i] = step.isDone() ? 0 : readySeconds + addStep(forecast, step, readySeconds);
            }
        }
    }

    /** Adds the tasks of a step without a run; returns how long the step takes once it is ready, in seconds. */
    private double addStep(ServiceForecast forecast, StepExecution step, double readySeconds) {
        int waiting = 0;
        double longest = 0;
        for (TaskExecution task : step.tasks) {
            if (task.phase == Phase.WAITING || task.phase == Phase.RESERVED) {
                waiting++;
            } else if (task.phase != Phase.DONE) {
                longest = Math.max(longest, remainingSeconds(task));
            }
        }
        double seconds = runSeconds(step);
        LimitForecast.Claim claim = LimitForecast.Claim.of(step);
        if (waiting > 0 && !(limits.isStartable(claim, step.spec.count()) && canBeHosted(step))) {
            // Whatever depends on this step does not start either.
            return HORIZON_SECONDS;
        }
        if (waiting > 0) {
            longest = Math.max(longest, seconds);
            int priority = step.job.spec.terms().priority();
            double size = forecast.accelerators(step.spec.chargedResources());
            forecast.addWaiting(new ServiceForecast.Waiting(
                    priority,
                    waiting,
                    size,
                    ServiceForecast.intervalOf(readySeconds),
                    ServiceForecast.intervalOf(step.slackMillis(now) / MILLIS_PER_SECOND),
                    ServiceForecast.intervalOf(usefulMillis(step) / MILLIS_PER_SECOND),
                    Math.max(1, ServiceForecast.intervalOf(seconds)),
                    claim));
        }
        return longest;
    }

    /** Returns how long the step may still wait and be of use, in milliseconds. */
    private long usefulMillis(StepExecution step) {
        return step.job.objective.latestUsefulStartMillis(step.occurrence) - now.wallClockMillis();
    }

    /** Returns whether the targets that take work could hold a task of the step, or its whole gang, when empty. */
    private boolean canBeHosted(StepExecution step) {
        Step spec = step.spec;
        int lacking = spec.mode().gang() ? spec.count() : 1;
        int spreadLimit = spec.constraints().spreadLimit();
        for (TargetState target : workingTargets) {
            if (Placement.isCompatible(step.job.spec, spec, target)) {
                int most = spreadLimit == 0 ? lacking : Math.min(lacking, spreadLimit);
                lacking -= spec.chargedResources().countFitting(target.capacity(), most);
                if (lacking <= 0) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns how long a run of the step is expected to take, in seconds. */
    private double runSeconds(StepExecution step) {
        return step.spec.mode().lasting() ? HORIZON_SECONDS : estimates.seconds(step);
    }

    /** Returns when the newest run of the task is expected to end, in seconds from now. */
    private double remainingSeconds(TaskExecution task) {
        if (task.phase == Phase.STOPPING) {
            return STOP_SECONDS;
        }
        if (task.confirmedNanos == 0 || task.step.spec.mode().lasting()) {
            return runSeconds(task.step);
        }
        return task.remainingSeconds(now);
    }
}
