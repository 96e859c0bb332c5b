package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses which work to stop so that a unit fits, losing as little work as it finds.
 *
 * <p>Greedy, not optimal: takes the victim with the least loss for the room it frees, then spares those that turn out
 * to be needless. A gang is stopped whole. For the pool's thread only.
 */
final class Victims {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Work between two checkpoints that a stop loses at most, in seconds. */
    private static final double CHECKPOINTED_LOSS_SECONDS = 0.5;

    /** Usual time until stopped work runs again, in seconds. */
    private static final double STOP_DELAY_SECONDS = 1.5;

    /** How many times dearer than other work it is to stop work of the highest priority. */
    private static final int URGENT_WEIGHT = 5;

    /** Keeps a victim that has only begun from counting as free, in core-seconds. */
    private static final double LEAST_LOSS = 1.0;

    /** What room on a target that does not yet suffice for a task counts for, against a whole place. */
    private static final double PART_GAIN = 0.1;

    private final Unit unit;
    private final List<TargetRun> scope;
    private final Cost cost;
    private final ClockReading now;
    private final Map<TargetRun, Resources> freed = new HashMap<>();
    private final Set<Victim> chosen = new LinkedHashSet<>();

    private Victims(Unit unit, List<TargetRun> scope, Cost cost, ClockReading now) {
        this.unit = unit;
        this.scope = scope;
        this.cost = cost;
        this.now = now;
    }

    /** What makes a victim dear. */
    enum Cost {
        /** Work that a stop loses. */
        LOST_WORK,
        /** Time until it ends by itself. */
        TIME_LEFT
    }

    /**
     * What to stop and where the unit then goes.
     *
     * @param places a target for each task
     * @param stops tasks to stop or to unassign
     * @param loss work that is lost, in core-seconds, or the time until the last one ends, in seconds
     */
    record Choice(List<TargetRun> places, List<TaskRun> stops, double loss) {}

    /** A gang or a single task that may be stopped. */
    private record Victim(List<TaskRun> tasks, double loss) {}

    /** Returns the choice among {@code scope}, or null if stopping all that is allowed is not enough. */
    static Choice find(Unit unit, List<TargetRun> scope, Predicate<TaskRun> allowed, Cost cost, ClockReading now) {
        return new Victims(unit, scope, cost, now).search(allowed);
    }

    private Choice search(Predicate<TaskRun> allowed) {
        List<Victim> candidates = candidates(allowed);
        if (!enoughAfterAll(candidates)) {
            return null;
        }
        while (places() == null) {
            Victim best = best(candidates);
            if (best == null) {
                return null;
            }
            candidates.remove(best);
            take(best, 1);
        }
        spareNeedless();
        List<TaskRun> stops = new ArrayList<>();
        double loss = 0;
        for (Victim victim : chosen) {
            stops.addAll(victim.tasks);
            loss = cost == Cost.LOST_WORK ? loss + victim.loss : Math.max(loss, victim.loss);
        }
        return new Choice(places(), stops, loss);
    }

    private boolean enoughAfterAll(List<Victim> candidates) {
        candidates.forEach(victim -> take(victim, 1));
        boolean enough = places() != null;
        candidates.forEach(victim -> take(victim, -1));
        return enough;
    }

    private List<TargetRun> places() {
        return Placement.choose(unit, scope, this::room);
    }

    private Resources room(TargetRun target) {
        return target.freeSoon().plus(freed.getOrDefault(target, Resources.NONE));
    }

    private List<Victim> candidates(Predicate<TaskRun> allowed) {
        List<Victim> candidates = new ArrayList<>();
        Set<StepRun> gangs = new HashSet<>();
        for (TargetRun target : scope) {
            for (TaskRun task : target.occupants.values()) {
                if (task.phase == Phase.STOPPING || !allowed.test(task)) {
                    continue;
                }
                if (!task.step.spec.mode().gang()) {
                    candidates.add(victim(List.of(task)));
                } else if (gangs.add(task.step)) {
                    candidates.add(victim(held(task.step)));
                }
            }
        }
        return candidates;
    }

    private static List<TaskRun> held(StepRun step) {
        return step.tasks.stream().filter(task -> task.target != null).toList();
    }

    private Victim victim(List<TaskRun> tasks) {
        double loss = cost == Cost.LOST_WORK ? LEAST_LOSS : 0;
        for (TaskRun task : tasks) {
            if (task.phase != Phase.RUNNING) {
                continue;
            }
            double seconds = now.secondsSince(task.confirmedNanos);
            loss = switch (cost) {
                case LOST_WORK -> loss + lostWork(task, seconds);
                case TIME_LEFT -> Math.max(loss, task.secondsLeft(now));
            };
        }
        return new Victim(tasks, loss);
    }

    private double lostWork(TaskRun task, double seconds) {
        boolean saves = task.step.spec.mode().checkpoint();
        double lost = saves ? Math.min(seconds, CHECKPOINTED_LOSS_SECONDS) : seconds;
        double cost = lost + delayLoss(task, seconds);
        return task.demand().coreEquivalents() * cost * weight(task);
    }

    /** Returns how dear the loss of a task's work is; urgent work has little to spare, so a stop makes it late. */
    private static int weight(TaskRun task) {
        int urgent = task.job().terms().priority() == 0 ? URGENT_WEIGHT : 1;
        return urgent * (1 + task.step.preemptions);
    }

    /** Returns what the delay of a stop costs: most for a job that would still be in time without it. */
    private double delayLoss(TaskRun task, double seconds) {
        double left = task.step.slackMillis(now) / MILLIS_PER_SECOND + seconds;
        if (left < 0) {
            return 0;
        }
        return left < STOP_DELAY_SECONDS ? STOP_DELAY_SECONDS : STOP_DELAY_SECONDS * STOP_DELAY_SECONDS / left;
    }

    private Victim best(List<Victim> candidates) {
        Victim best = null;
        double bestScore = Double.MAX_VALUE;
        for (Victim victim : candidates) {
            double gain = gain(victim);
            if (gain > 0 && victim.loss / gain < bestScore) {
                best = victim;
                bestScore = victim.loss / gain;
            }
        }
        return best;
    }

    private double gain(Victim victim) {
        Set<TargetRun> touched = new HashSet<>();
        victim.tasks.forEach(task -> touched.add(task.target));
        touched.retainAll(scope);
        int before = 0;
        for (TargetRun target : touched) {
            before += Placement.slots(unit, target, room(target));
        }
        take(victim, 1);
        int after = 0;
        for (TargetRun target : touched) {
            after += Placement.slots(unit, target, room(target));
        }
        take(victim, -1);
        double part = 0;
        for (TaskRun task : victim.tasks) {
            if (touched.contains(task.target)) {
                part += task.demand().coreEquivalents()
                        / Math.max(1, unit.demand().coreEquivalents());
            }
        }
        return after - before + PART_GAIN * part;
    }

    private void take(Victim victim, int sign) {
        for (TaskRun task : victim.tasks) {
            Resources demand = task.demand();
            freed.merge(
                    task.target, sign > 0 ? demand : Resources.NONE.minus(demand), (sum, change) -> sum.plus(change));
        }
        if (sign > 0) {
            chosen.add(victim);
        } else {
            chosen.remove(victim);
        }
    }

    private void spareNeedless() {
        List<Victim> order = new ArrayList<>(chosen);
        order.sort((one, other) -> Double.compare(other.loss, one.loss));
        for (Victim victim : order) {
            take(victim, -1);
            if (places() == null) {
                take(victim, 1);
            }
        }
    }
}
