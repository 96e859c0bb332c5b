package org.acaciaport.pool;

/**
 * An amount of what a target offers and a task takes.
 *
 * <p>Immutable. Amounts may be negative after {@link #minus}, which marks a target as over-committed.
 *
 * @param cpuMillis processors, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Weight of one accelerator when work is expressed in cores. */
    private static final long CORES_PER_ACCELERATOR = 8;

    private static final double MILLIS_PER_CORE = 1_000.0;

    /** Returns the sum of both. */
    public Resources plus(Resources other) {
        return new Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /** Returns what is left after {@code other} is taken. */
    public Resources minus(Resources other) {
        return new Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /** Returns whether this fits into {@code room}. */
    public boolean fitsIn(Resources available) {
        return cpuMillis <= available.cpuMillis
                && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators;
    }

    /** Returns how many times this fits into {@code room}, at most {@code most}. */
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

    /** Returns this as a number of cores, an accelerator counting as {@value #CORES_PER_ACCELERATOR}. */
    public double coreEquivalents() {
        return cpuMillis / MILLIS_PER_CORE + accelerators * CORES_PER_ACCELERATOR;
    }
}
