package org.acaciaport.pool;

/**
 * An amount of resources that a target offers or a task demands.
 *
 * <p>Immutable. Amounts may be negative after {@link #minus}; negative free resources mean that a target is
 * over-committed.
 *
 * @param cpuMillis processor time, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Number of cores that one accelerator counts as. */
    private static final long CORES_PER_ACCELERATOR = 8;

    private static final double MILLIS_PER_CORE = 1_000.0;

    /** Returns the sum of this and {@code other}. */
    public Resources plus(Resources other) {
        return new Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /** Returns the difference of this and {@code other}, which may have negative amounts. */
    public Resources minus(Resources other) {
        return new Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /** Returns the sum of {@code count} times {@code amounts}. */
    public static Resources sumOf(Resources amounts, int count) {
        return new Resources(amounts.cpuMillis * count, amounts.memoryMb * count, amounts.accelerators * count);
    }

    /** Returns whether every amount is at most that of {@code available}. */
    public boolean fitsIn(Resources available) {
        return cpuMillis <= available.cpuMillis
                && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators;
    }

    /** Returns how many times this fits into {@code available}, at most {@code max}. */
    public int countFitting(Resources available, int max) {
        long times = max;
        if (cpuMillis > 0) {
            times = Math.min(times, available.cpuMillis / cpuMillis);
        }
        if (memoryMb > 0) {
            times = Math.min(times, available.memoryMb / memoryMb);
        }
        if (accelerators > 0) {
            times = Math.min(times, available.accelerators / accelerators);
        }
        return fitsIn(available) ? (int) Math.max(0, times) : 0;
    }

    /** Returns the processor time in cores. */
    public double cores() {
        return cpuMillis / MILLIS_PER_CORE;
    }

    /** Returns the equivalent number of cores, counting each accelerator as {@value #CORES_PER_ACCELERATOR} cores. */
    public double coreEquivalents() {
        return cpuMillis / MILLIS_PER_CORE + accelerators * CORES_PER_ACCELERATOR;
    }
}
