package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jboss.logging.Logger;

/**
 * One pass that gives waiting work its places, in order of priority.
 *
 * <p>Made anew for each pass; for the pool's thread only.
 */
final class PlacementPass {
    private static final Logger LOG = Logger.getLogger(PlacementPass.class);

    /** Time within its guarantee after which a gang no longer waits for one rack, in milliseconds. */
    private static final long CLAIM_PATIENCE_MILLIS = 1_000;

    /** Time after which a unit that does not fit has room set aside, in milliseconds. */
    private static final long SET_ASIDE_MILLIS = 3_000;

    /** Longest wait for running work to end before other work is stopped, in seconds. */
    private static final double SOON_SECONDS = 0.8;

    /** Wait for running work to end that any unit can afford, in seconds. */
    private static final double SHORT_SECONDS = 0.3;

    /** Part of the time that a unit has to spare that it may wait for running work to end. */
    private static final double SOON_SHARE = 0.5;

    /** Time within which a unit may choose to wait for running work, in milliseconds. */
    private static final long SOON_CHOICE_MILLIS = 200;

    /** Time after which a unit no longer waits for work that was about to end, in milliseconds. */
    private static final long SOON_OVER_MILLIS = 1_000;

    /** Time for which an urgent unit keeps room that was set aside before it chooses anew, in milliseconds. */
    private static final long KEPT_ASIDE_MILLIS = 1_000;

    /** Pause between two searches for running work that could make room for the same step, in milliseconds. */
    private static final long SEARCH_PAUSE_MILLIS = 100;

    /** Most work that may be lost for a unit beyond its guarantee, as a multiple of its own. */
    private static final double MOST_LOSS = 2.0;

    /** Work that may be lost for any urgent unit, however small, in core-seconds. */
    private static final double LOSS_FOR_ANY = 1_000;

    /** Most units that have room set aside while they wait. */
    private static final int MOST_SET_ASIDE = 1;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final Parts parts;
    private final Collection<JobRun> jobs;
    private final Collection<TargetRun> targets;
    private final Placement placement;
    private final Accounts accounts;
    private final ClockReading now;
    private final Set<Shape> full = new HashSet<>();
    private int setAside;

    PlacementPass(
            Parts parts,
            Collection<JobRun> jobs,
            Collection<TargetRun> targets,
            PoolSettings settings,
            ClockReading now) {
        this.parts = parts;
        this.jobs = jobs;
        this.targets = targets;
        this.now = now;
        placement = new Placement(targets, settings);
        accounts = Accounts.of(jobs, settings);
    }

    /**
     * What outlives a pass.
     *
     * @param outbox takes starts
     * @param suspicion knows where a job failed
     * @param ends stops runs
     */
    record Parts(Outbox outbox, Suspicion suspicion, Ends ends) {}

    /** A demand that found no room in this pass; others like it need not be tried. */
    private record Shape(String service, Resources demand, String label, String nearRack) {}

    void run() {
        List<Unit> waiting = new ArrayList<>();
        for (JobRun job : jobs) {
            if (!job.state.isTerminal()) {
                collect(job, waiting);
            }
        }
        waiting.sort(order());
        for (Unit unit : waiting) {
            place(unit);
        }
        new Starts(parts, placement, now).run(jobs);
    }

    private Comparator<Unit> order() {
        return Comparator.comparingInt(Unit::priority)
                .thenComparing(unit ->
                        unit.priority() == 0 && !accounts.within(unit.job().account()))
                .thenComparing(unit -> unit.step().job.objective.outlook(unit.step().occurrence, now.wallClockMillis()))
                .thenComparingLong(unit -> unit.step().slackMillis(now))
                .thenComparing(unit -> unit.job().id());
    }

    private void collect(JobRun job, List<Unit> waiting) {
        job.beginDue(now.wallClockMillis());
        for (List<StepRun> steps : job.open()) {
            for (StepRun step : steps) {
                if (step.done() || !mayRun(step, steps)) {
                    continue;
                }
                if (step.readyNanos == 0) {
                    step.readyNanos = now.monotonicNanos();
                    step.searchAgainNanos = now.monotonicNanos();
                }
                collect(step, waiting);
            }
        }
    }

    private static boolean mayRun(StepRun step, List<StepRun> steps) {
        for (int earlier : step.spec.after()) {
            if (!steps.get(earlier).done()) {
                return false;
            }
        }
        return true;
    }

    private void collect(StepRun step, List<Unit> waiting) {
        if (!step.spec.mode().gang()) {
            for (TaskRun task : step.tasks) {
                if (task.phase == Phase.WAITING) {
                    waiting.add(new Unit(step, List.of(task)));
                }
            }
            return;
        }
        if (step.tasks.stream().allMatch(task -> task.phase == Phase.WAITING)) {
            waiting.add(new Unit(step, step.tasks));
        } else if (step.tasks.get(0).phase == Phase.ASSIGNED
                && step.job.job.terms().priority() > 0) {
            setAside++;
        }
    }

    private void place(Unit unit) {
        Step.Constraints limits = unit.step().spec.constraints();
        Shape shape = new Shape(unit.job().service(), unit.demand(), limits.label(), limits.nearRack());
        boolean plain = unit.size() == 1 && limits.spreadLimit() == 0;
        if (plain && full.contains(shape)) {
            return;
        }
        Map<String, List<TargetRun>> racks = placement.racks(unit, now.monotonicNanos());
        racks.values()
                .forEach(rack -> rack.removeIf(
                        target -> parts.suspicion().shuns(unit.job().id(), target, targets)));
        List<Tier> tiers = Tier.of(unit, racks, overdueClaim(unit), waited(unit));
        boolean search = now.monotonicNanos() - unit.step().searchAgainNanos >= 0;
        for (Tier tier : tiers) {
            if (placeFree(unit, tier) || search && (waitForEnds(unit, tier) || stopOthers(unit, tier))) {
                return;
            }
        }
        for (Tier tier : tiers) {
            if (search && waitForRoom(unit, tier)) {
                return;
            }
        }
        if (search) {
            unit.step().searchAgainNanos = now.nanosAfter(SEARCH_PAUSE_MILLIS);
        }
        if (plain) {
            full.add(shape);
        }
    }

    private long waited(Unit unit) {
        return now.millisSince(unit.step().readyNanos);
    }

    private boolean overdueClaim(Unit unit) {
        return claims(unit) && waited(unit) > CLAIM_PATIENCE_MILLIS;
    }

    private boolean claims(Unit unit) {
        return unit.priority() == 0 && accounts.within(unit.job().account());
    }

    private boolean placeFree(Unit unit, Tier tier) {
        List<TargetRun> best = null;
        long bestLeft = Long.MAX_VALUE;
        for (List<TargetRun> group : tier.groups()) {
            List<TargetRun> places = Placement.choose(unit, group, TargetRun::freeSoon);
            if (places == null) {
                continue;
            }
            long left = 0;
            for (TargetRun target : group) {
                left += target.freeSoon().accelerators();
            }
            if (left < bestLeft) {
                best = places;
                bestLeft = left;
            }
        }
        if (best == null) {
            return false;
        }
        assign(unit, best, "free");
        return true;
    }

    /** Waits for work that is about to end rather than stop any. */
    private boolean waitForEnds(Unit unit, Tier tier) {
        if (unit.priority() != 0 || waited(unit) > SOON_CHOICE_MILLIS) {
            return false;
        }
        Victims.Choice best = cheapest(unit, tier, PlacementPass::endsByItself, Victims.Cost.TIME_LEFT);
        if (best == null || best.loss() > affordableSeconds(unit)) {
            return false;
        }
        assign(unit, best.places(), "soon");
        unit.step().promiseEndsNanos = now.nanosAfter(SOON_OVER_MILLIS - waited(unit));
        return true;
    }

    /** Returns how long a unit can wait without being late for that, in seconds. */
    private double affordableSeconds(Unit unit) {
        double spare = unit.step().slackMillis(now) / MILLIS_PER_SECOND;
        return Math.clamp(SOON_SHARE * spare, SHORT_SECONDS, SOON_SECONDS);
    }

    private static boolean endsByItself(TaskRun task) {
        return task.phase == Phase.RUNNING && !task.step.spec.mode().lasting();
    }

    private Victims.Choice cheapest(Unit unit, Tier tier, Predicate<TaskRun> allowed, Victims.Cost cost) {
        Victims.Choice best = null;
        for (List<TargetRun> group : tier.groups()) {
            Victims.Choice choice = Victims.find(unit, group, allowed, cost, now);
            if (choice != null && (best == null || choice.loss() < best.loss())) {
                best = choice;
            }
        }
        return best;
    }

    /** Returns the work that may be lost so that a unit beyond its guarantee runs at once, in core-seconds. */
    private static double affordableLoss(Unit unit) {
        double work =
                unit.size() * unit.demand().coreEquivalents() * unit.step().spec.estimateSeconds();
        return Math.max(LOSS_FOR_ANY, MOST_LOSS * work);
    }

    private boolean stopOthers(Unit unit, Tier tier) {
        if (unit.priority() != 0) {
            return false;
        }
        boolean claim = claims(unit);
        Predicate<TaskRun> allowed = task -> task.job().terms().priority() > 0
                || claim && !accounts.within(task.job().account());
        Victims.Choice best = cheapest(unit, tier, allowed, Victims.Cost.LOST_WORK);
        if (best == null || !claim && best.loss() > affordableLoss(unit)) {
            return false;
        }
        String why = claim ? "claim" : "priority";
        for (TaskRun task : best.stops()) {
            if (task.phase == Phase.ASSIGNED) {
                parts.ends().unassign(task);
                continue;
            }
            LOG.infof(
                    "stop: request=%s task=%s run=%s target=%s why=%s for=%s",
                    task.id.job(),
                    task.id,
                    task.lastRun,
                    task.target.id,
                    why,
                    unit.job().id());
            parts.ends().stop(task, now);
        }
        countPreemptions(best.stops());
        assign(unit, best.places(), why);
        return true;
    }

    private static void countPreemptions(List<TaskRun> stopped) {
        Set<StepRun> steps = new HashSet<>();
        for (TaskRun task : stopped) {
            if (task.phase == Phase.STOPPING && steps.add(task.step)) {
                task.step.preemptions++;
            }
        }
    }

    /** Sets room aside that frees up as running work ends, so that large units are not passed over for ever. */
    private boolean waitForRoom(Unit unit, Tier tier) {
        if (setAside >= MOST_SET_ASIDE
                || waited(unit) < SET_ASIDE_MILLIS
                || !unit.step().spec.mode().gang()) {
            return false;
        }
        Victims.Choice best = cheapest(unit, tier, PlacementPass::endsByItself, Victims.Cost.TIME_LEFT);
        if (best == null) {
            return false;
        }
        setAside++;
        assign(unit, best.places(), "set-aside");
        unit.step().promiseEndsNanos = now.nanosAfter(KEPT_ASIDE_MILLIS);
        return true;
    }

    private void assign(Unit unit, List<TargetRun> places, String why) {
        unit.step().promiseEndsNanos = now.monotonicNanos();
        for (int i = 0; i < unit.size(); i++) {
            places.get(i).put(unit.tasks().get(i), Phase.ASSIGNED);
        }
        LOG.infof(
                "place: request=%s step=%s tasks=%s cores=%.1f account=%s target=%s why=%s waited_ms=%s",
                unit.job().id(),
                unit.step().number,
                unit.size(),
                unit.demand().coreEquivalents(),
                unit.job().account(),
                places.get(0).id,
                why,
                waited(unit));
    }
}
