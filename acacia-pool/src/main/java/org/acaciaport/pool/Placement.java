package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Selection of targets for units. A selection takes time about linear in the number of targets.
 *
 * <p>Created anew for each pass, in which the eligibility of targets does not change. Not thread-safe; confined to the
 * thread of the pool.
 */
final class Placement {
    private final Collection<TargetState> targets;
    private final PoolSettings settings;
    private final Map<EligibleTargets.Key, EligibleTargets> eligible = new HashMap<>();

    Placement(Collection<TargetState> targets, PoolSettings settings) {
        this.targets = targets;
        this.settings = settings;
    }

    /**
     * Returns whether {@code target} currently accepts tasks of {@code unit}, regardless of its free resources.
     *
     * @param nowNanos current monotonic clock reading, in nanoseconds
     */
    boolean isEligible(PlacementUnit unit, TargetState target, long nowNanos) {
        return isOpen(unit, target) && isUsable(target, unit.acceptsSuspectedTargets(nowNanos), nowNanos);
    }

    /** Returns whether {@code target} has reported and is not excluded, nor suspected unless that is accepted. */
    private static boolean isUsable(TargetState target, boolean acceptsSuspected, long nowNanos) {
        long fromNanos = acceptsSuspected ? target.excludedUntilNanos : target.openFromNanos();
        return target.info.incarnation() == target.incarnation && fromNanos <= nowNanos;
    }

    /** Returns whether {@code target} accepts tasks of {@code unit}, once it has reported and is not excluded. */
    private boolean isOpen(PlacementUnit unit, TargetState target) {
        return unit.demand().fitsIn(target.capacity()) && isOpenToKind(unit, target);
    }

    private boolean isOpenToKind(PlacementUnit unit, TargetState target) {
        return isOfKind(unit.job(), unit.step().spec, target)
                && target.registered
                && !target.info.draining()
                && !settings.evacuatedDataCentres().contains(target.info.dataCentre());
    }

    /** Returns whether all tasks of {@code unit} would fit on the {@code usable} targets if these were idle. */
    boolean fitsOnIdle(PlacementUnit unit, Predicate<TargetState> usable) {
        int slots = 0;
        for (TargetState target : targets) {
            if (isOpen(unit, target) && usable.test(target)) {
                slots += countSlots(unit, target, target.capacity());
            }
        }
        return slots >= unit.size();
    }

    /** Returns whether {@code target}, if idle, could run a task of {@code step}. */
    static boolean isCompatible(Job job, Step step, TargetState target) {
        return isOfKind(job, step, target) && step.chargedResources().fitsIn(target.capacity());
    }

    /** Returns whether {@code target} has the service of {@code job} and the label that {@code step} asks for. */
    static boolean isOfKind(Job job, Step step, TargetState target) {
        if (target.info == null || !target.info.service().equals(job.service())) {
            return false;
        }
        String label = step.constraints().label();
        return label.isEmpty() || target.info.labels().contains(label);
    }

    /**
     * Returns a target for each task of {@code unit}, or null if the tasks do not all fit; takes them regardless of
     * their speed.
     */
    static List<TargetState> selectTargets(
            PlacementUnit unit, List<TargetState> candidates, Function<TargetState, Resources> available) {
        return selectTargets(unit, candidates, available, TargetOrder.FULLEST_FIRST);
    }

    /**
     * Returns a target for each task of {@code unit}, or null if the tasks do not all fit. Among targets that are alike
     * in {@code preferred}, takes those with the fewest free accelerators, then racks with the fewest, so that idle
     * targets and racks stay available to large units.
     *
     * @param candidates targets to choose from
     * @param available resources of a target that the unit may use
     * @param preferred the order in which targets are taken
     */
    static List<TargetState> selectTargets(
            PlacementUnit unit,
            List<TargetState> candidates,
            Function<TargetState, Resources> available,
            TargetOrder preferred) {
        Map<TargetState, Resources> freeByTarget = new HashMap<>();
        Map<TargetState, Integer> slots = new HashMap<>();
        Map<String, Long> freeByRack = new HashMap<>();
        int total = 0;
        for (TargetState target : candidates) {
            Resources free = available.apply(target);
            freeByTarget.put(target, free);
            freeByRack.merge(target.rack(), Math.max(0, free.accelerators()), Long::sum);
            int count = countSlots(unit, target, free);
            if (count > 0) {
                slots.put(target, count);
                total += count;
            }
        }
        if (total < unit.size()) {
            return null;
        }
        List<TargetState> order = new ArrayList<>(slots.keySet());
        order.sort(preferred
                .comparator()
                .thenComparingLong(target -> freeByTarget.get(target).accelerators())
                .thenComparingLong(target -> freeByRack.get(target.rack()))
                .thenComparingLong(target -> freeByTarget.get(target).cpuMillis())
                .thenComparing(target -> target.id));
        return fill(unit.size(), order, slots);
    }

    private static List<TargetState> fill(int size, List<TargetState> order, Map<TargetState, Integer> slots) {
        List<TargetState> chosen = new ArrayList<>();
        for (TargetState target : order) {
            for (int i = 0; i < slots.get(target) && chosen.size() < size; i++) {
                chosen.add(target);
            }
            if (chosen.size() == size) {
                break;
            }
        }
        return chosen;
    }

    /** Returns how many tasks of {@code unit} fit into the resources {@code available} on {@code target}. */
    static int countSlots(PlacementUnit unit, TargetState target, Resources available) {
        int max = maxSlots(unit, target);
        return max <= 0 ? 0 : unit.demand().countFitting(available, max);
    }

    /** Returns how many tasks of {@code unit} may be placed on {@code target}, regardless of its resources. */
    static int maxSlots(PlacementUnit unit, TargetState target) {
        int limit = unit.step().spec.constraints().spreadLimit();
        return limit <= 0 ? unit.size() : Math.min(unit.size(), limit - countTasksOn(unit.step(), target));
    }

    private static int countTasksOn(StepExecution step, TargetState target) {
        int count = 0;
        for (TaskExecution task : step.tasks) {
            if (task.target == target) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the targets that currently accept tasks of {@code unit}, by rack.
     *
     * @param nowNanos current monotonic clock reading, in nanoseconds
     */
    Map<String, List<TargetState>> eligibleTargetsByRack(PlacementUnit unit, long nowNanos) {
        Map<String, List<TargetState>> racks = new HashMap<>();
        for (TargetState target : eligibleTargets(unit, nowNanos).all()) {
            if (unit.demand().fitsIn(target.capacity())) {
                racks.computeIfAbsent(target.rack(), rack -> new ArrayList<>()).add(target);
            }
        }
        return racks;
    }

    /** Returns the targets that currently accept the service and label of {@code unit}, whatever its demand. */
    private EligibleTargets eligibleTargets(PlacementUnit unit, long nowNanos) {
        boolean acceptsSuspected = unit.acceptsSuspectedTargets(nowNanos);
        EligibleTargets.Key key = new EligibleTargets.Key(
                unit.job().service(), unit.step().spec.constraints().label(), acceptsSuspected);
        EligibleTargets known = eligible.get(key);
        if (known == null) {
            known = EligibleTargets.of(targets.stream()
                    .filter(target -> isOpenToKind(unit, target) && isUsable(target, acceptsSuspected, nowNanos))
                    .toList());
            eligible.put(key, known);
        }
        return known;
    }

    /** Returns whether a target on {@code rack} currently accepts tasks of {@code unit}. */
    boolean acceptsOnRack(PlacementUnit unit, String rack, long nowNanos) {
        for (TargetState target : eligibleTargets(unit, nowNanos).all()) {
            if (target.rack().equals(rack) && unit.demand().fitsIn(target.capacity())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the tasks of {@code unit} would fit on one rack if its eligible targets were idle. */
    boolean fitsOnOneRack(PlacementUnit unit, long nowNanos) {
        return fitsOnOneRack(unit, eligibleTargets(unit, nowNanos).racks());
    }

    /**
     * Returns whether less than half of the capacity of the registered targets of {@code service} is in use. Targets
     * that have not reported do not count: what their registrations promise may not exist.
     */
    boolean isMostlyFree(String service) {
        double free = 0;
        double total = 0;
        for (TargetState target : targets) {
            if (target.registered
                    && target.info.incarnation() == target.incarnation
                    && target.info.service().equals(service)) {
                free += target.freeNow().coreEquivalents();
                total += target.capacity().coreEquivalents();
            }
        }
        return 2 * free > total;
    }

    /** Returns whether twice the tasks of {@code unit} would fit into resources that are free at once. */
    boolean fitsTwice(PlacementUnit unit, long nowNanos) {
        int slots = 0;
        for (TargetState target : targets) {
            if (isEligible(unit, target, nowNanos)) {
                slots += countSlots(unit, target, target.freeAtOnce());
            }
            if (slots >= 2 * unit.size()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether all tasks of {@code unit} would fit on one of {@code racks} if its targets were idle. */
    static boolean fitsOnOneRack(PlacementUnit unit, Collection<List<TargetState>> racks) {
        for (List<TargetState> rack : racks) {
            int total = 0;
            for (TargetState target : rack) {
                total += countSlots(unit, target, target.capacity());
            }
            if (total >= unit.size()) {
                return true;
            }
        }
        return false;
    }
}
