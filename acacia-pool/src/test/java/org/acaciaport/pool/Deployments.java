package org.acaciaport.pool;

import java.util.List;

/** Simulated deployments with the typical load of the users. */
final class Deployments {
    private static final int[] SINGLE_ACCELERATOR = {1};
    private static final int[] MIXED_ACCELERATORS = {1, 2, 4, 8, 8};

    /** Rendering of plaques: short urgent previews, long gangs for proofs, batches of many small tasks. */
    static final PoolSimulation.Deployment RENDERING = new PoolSimulation.Deployment(
            33,
            8,
            new Resources(32_000, 65_536, 8),
            List.of(
                    urgent("preview", 1.4, 3.7, 4_000),
                    gangs("proof", 0.3, 3, 0.9, 5, 11, 13, 20_000),
                    batches("batch", 0.34, 16, 7.6, 3, 5_000)),
            0.62);

    /** Matching of bookings: urgent matches, gangs for rosters, batches of many tasks for captions. */
    static final PoolSimulation.Deployment BOOKING = new PoolSimulation.Deployment(
            32,
            6,
            new Resources(128_000, 262_144, 8),
            List.of(
                    urgent("match", 1.8, 15, 31_000),
                    gangs("roster", 0.63, 3, 0.9, 4, 6.8, 52, 140_000),
                    batches("caption", 0.62, 12, 6.1, 11, 29_000)),
            0.62);

    private Deployments() {}

    private static WorkKind urgent(String name, double perSecond, double cores, int memoryMb) {
        Job.Terms terms = new Job.Terms(0, 2, 1.5, 250);
        return new WorkKind(
                name,
                perSecond,
                4,
                0.8,
                terms,
                1,
                3,
                18,
                2.5,
                0.5,
                8,
                (int) cores,
                memoryMb,
                MIXED_ACCELERATORS,
                true,
                0.8,
                0,
                0.4);
    }

    private static WorkKind gangs(
            String name,
            double perSecond,
            double value,
            double lateValue,
            double tasks,
            double seconds,
            int cores,
            int memoryMb) {
        Job.Terms terms = new Job.Terms(1, 2, 3, 1_000);
        return new WorkKind(
                name,
                perSecond,
                value,
                lateValue,
                terms,
                1,
                tasks,
                24,
                seconds,
                0.3,
                11,
                cores,
                memoryMb,
                MIXED_ACCELERATORS,
                true,
                0.6,
                0.45,
                0.5);
    }

    private static WorkKind batches(
            String name, double perSecond, double tasks, double seconds, int cores, int memoryMb) {
        Job.Terms terms = new Job.Terms(2, 2, 3, 3_000);
        return new WorkKind(
                name,
                perSecond,
                1,
                0.3,
                terms,
                1.3,
                tasks,
                72,
                seconds,
                0.3,
                11,
                cores,
                memoryMb,
                SINGLE_ACCELERATOR,
                false,
                0,
                0.45,
                0.5);
    }
}
