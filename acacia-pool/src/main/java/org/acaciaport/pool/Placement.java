package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Searches places for units. Takes time linear in the number of targets.
 *
 * <p>Holds no state of its own; for the pool's thread only.
 */
final class Placement {
    private final Collection<TargetRun> targets;
    private final PoolSettings settings;

    Placement(Collection<TargetRun> targets, PoolSettings settings) {
        this.targets = targets;
        this.settings = settings;
    }

    /** Returns whether new work of {@code unit} may go to {@code target}, room aside. */
    boolean allowed(Unit unit, TargetRun target, long now) {
        return suits(unit.job(), unit.step().spec, target)
                && target.registered
                && target.info.incarnation() == target.incarnation
                && !target.info.draining()
                && !settings.evacuatedDataCentres().contains(target.info.dataCentre())
                && target.avoidUntilNanos <= now;
    }

    /** Returns whether tasks of {@code step} could ever run on {@code target}. */
    static boolean suits(Job job, Step step, TargetRun target) {
        if (target.info == null || !target.info.service().equals(job.service())) {
            return false;
        }
        String label = step.constraints().label();
        return (label.isEmpty() || target.info.labels().contains(label))
                && step.chargedResources().fitsIn(target.capacity());
    }

    /**
     * Returns a target for every task of {@code unit}, or null if there is not enough room. Fills targets, and then
     * racks, that are in use already, so that whole ones stay free for large units.
     *
     * @param room the room of a target that the search may use
     * @param scope the targets to choose from
     */
    static List<TargetRun> choose(Unit unit, List<TargetRun> scope, Function<TargetRun, Resources> room) {
        Map<TargetRun, Resources> rooms = new HashMap<>();
        Map<TargetRun, Integer> slots = new HashMap<>();
        Map<String, Long> rackRooms = new HashMap<>();
        int sum = 0;
        for (TargetRun target : scope) {
            Resources free = room.apply(target);
            rooms.put(target, free);
            rackRooms.merge(target.rack(), Math.max(0, free.accelerators()), Long::sum);
            int count = slots(unit, target, free);
            if (count > 0) {
                slots.put(target, count);
                sum += count;
            }
        }
        if (sum < unit.size()) {
            return null;
        }
        List<TargetRun> order = new ArrayList<>(slots.keySet());
        order.sort(
                Comparator.comparingLong((TargetRun target) -> rooms.get(target).accelerators())
                        .thenComparingLong(target -> rackRooms.get(target.rack()))
                        .thenComparingLong(target -> rooms.get(target).cpuMillis())
                        .thenComparing(target -> target.id));
        return fill(unit.size(), order, slots);
    }

    private static List<TargetRun> fill(int size, List<TargetRun> order, Map<TargetRun, Integer> slots) {
        List<TargetRun> places = new ArrayList<>();
        for (TargetRun target : order) {
            for (int i = 0; i < slots.get(target) && places.size() < size; i++) {
                places.add(target);
            }
            if (places.size() == size) {
                break;
            }
        }
        return places;
    }

    /** Returns how many tasks of {@code unit} fit into {@code room} on {@code target}. */
    static int slots(Unit unit, TargetRun target, Resources room) {
        int limit = unit.step().spec.constraints().spreadLimit();
        int most = unit.size();
        if (limit > 0) {
            most = Math.min(most, limit - present(unit.step(), target));
        }
        return most <= 0 ? 0 : unit.demand().countFitting(room, most);
    }

    private static int present(StepRun step, TargetRun target) {
        int present = 0;
        for (TaskRun task : step.tasks) {
            if (task.target == target) {
                present++;
            }
        }
        return present;
    }

    /** Returns the targets that {@code unit} may use, by rack. */
    Map<String, List<TargetRun>> racks(Unit unit, long now) {
        Map<String, List<TargetRun>> racks = new HashMap<>();
        for (TargetRun target : targets) {
            if (allowed(unit, target, now)) {
                racks.computeIfAbsent(target.rack(), rack -> new ArrayList<>()).add(target);
            }
        }
        return racks;
    }

    /** Returns whether all of {@code unit} could ever fit on one of {@code racks}. */
    static boolean fitsOneRack(Unit unit, Map<String, List<TargetRun>> racks) {
        for (List<TargetRun> rack : racks.values()) {
            int sum = 0;
            for (TargetRun target : rack) {
                sum += slots(unit, target, target.capacity());
            }
            if (sum >= unit.size()) {
                return true;
            }
        }
        return false;
    }
}
