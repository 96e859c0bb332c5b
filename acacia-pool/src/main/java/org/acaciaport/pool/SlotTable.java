package org.acaciaport.pool;

import java.util.List;

/**
 * Counts the tasks of a unit that fit on each of some targets while resources are freed and taken back.
 *
 * <p>Targets are numbered in the order given. The number is also kept in each target, where the next table replaces it,
 * so only the newest table can look up numbers. Mutable and not thread-safe; confined to the thread of the pool.
 * {@code total} is always the sum of {@code slots}.
 */
final class SlotTable {
    private final List<TargetState> targets;
    private final Resources demand;
    private final long[] freeCpuMillis;
    private final long[] freeMemoryMb;
    private final long[] freeAccelerators;

    /** Most tasks that may be placed on each target, however much is free. */
    private final int[] limits;

    private final int[] slots;
    private int total;

    /** Creates a table with the projected free resources of {@code targets}. */
    SlotTable(PlacementUnit unit, List<TargetState> targets) {
        this.targets = targets;
        demand = unit.demand();
        int count = targets.size();
        freeCpuMillis = new long[count];
        freeMemoryMb = new long[count];
        freeAccelerators = new long[count];
        limits = new int[count];
        slots = new int[count];
        for (int i = 0; i < count; i++) {
            TargetState target = targets.get(i);
            target.tableIndex = i;
            limits[i] = Placement.maxSlots(unit, target);
            add(i, target.projectedFree(), 1);
        }
    }

    /** Returns the number of {@code target}, or -1 if it is not in this table. */
    int indexOf(TargetState target) {
        int index = target.tableIndex;
        return index < targets.size() && targets.get(index) == target ? index : -1;
    }

    int size() {
        return targets.size();
    }

    /** Returns the number of tasks that fit on all targets together. */
    int total() {
        return total;
    }

    /** Returns the number of tasks that fit on target number {@code index}. */
    int slots(int index) {
        return slots[index];
    }

    /** Returns the free resources of {@code target}, which must be in this table. */
    Resources free(TargetState target) {
        int index = target.tableIndex;
        return new Resources(freeCpuMillis[index], freeMemoryMb[index], freeAccelerators[index]);
    }

    /** Frees {@code count} times {@code freed} on a target, or takes it back if {@code count} is negative. */
    void add(int index, Resources freed, int count) {
        freeCpuMillis[index] += count * freed.cpuMillis();
        freeMemoryMb[index] += count * freed.memoryMb();
        freeAccelerators[index] += count * freed.accelerators();
        int after = count(index, freeCpuMillis[index], freeMemoryMb[index], freeAccelerators[index]);
        total += after - slots[index];
        slots[index] = after;
    }

    /** Returns how many more tasks would fit on a target if {@code count} times {@code freed} were freed there. */
    int gain(int index, Resources freed, int count) {
        int after = count(
                index,
                freeCpuMillis[index] + count * freed.cpuMillis(),
                freeMemoryMb[index] + count * freed.memoryMb(),
                freeAccelerators[index] + count * freed.accelerators());
        return after - slots[index];
    }

    /** Counts like {@link Resources#countFitting}, but without objects; a search counts thousands of times. */
    private int count(int index, long cpuMillis, long memoryMb, long accelerators) {
        if (demand.cpuMillis() > cpuMillis || demand.memoryMb() > memoryMb || demand.accelerators() > accelerators) {
            return 0;
        }
        long times = limits[index];
        if (demand.accelerators() > 0) {
            times = Math.min(times, accelerators / demand.accelerators());
        }
        if (demand.cpuMillis() > 0) {
            times = Math.min(times, cpuMillis / demand.cpuMillis());
        }
        if (demand.memoryMb() > 0) {
            times = Math.min(times, memoryMb / demand.memoryMb());
        }
        return (int) Math.max(0, times);
    }
}
