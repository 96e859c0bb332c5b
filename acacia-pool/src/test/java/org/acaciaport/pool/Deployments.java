package org.acaciaport.pool;

import java.util.List;

/** Simulated deployments with the typical load of the users. */
final class Deployments {
    /** Tasks of the widest step, as a multiple of the mean. */
    private static final double MAX_RELATIVE_WIDTH = 6;

    private static final int[] SINGLE_ACCELERATOR = {1};
    private static final int[] MIXED_ACCELERATORS = {1, 2, 4, 8, 8};

    /** Rendering of plaques: short urgent previews, long gangs for proofs, batches of many small tasks. */
    static final PoolSimulation.Deployment RENDERING = new PoolSimulation.Deployment(
            33,
            8,
            new Resources(32_000, 65_536, 8),
            List.of(
                    urgent("preview", 1.4, 3, 3.7, 4_000, 0.4),
                    gangs("proof", 0.3, 5, 11, 13, 20_000, 0.5),
                    batches("batch", 0.34, 16, 7.6, 3, 5_000)),
            4,
            0.62);

    /** Matching of bookings: urgent matches, gangs for rosters, batches of many tasks for captions. */
    static final PoolSimulation.Deployment BOOKING = new PoolSimulation.Deployment(
            32,
            6,
            new Resources(128_000, 262_144, 8),
            List.of(
                    urgent("match", 1.8, 3, 15, 31_000, 0.4),
                    gangs("roster", 0.63, 4, 6.8, 52, 140_000, 0.5),
                    batches("caption", 0.62, 12, 6.1, 11, 29_000)),
            4,
            0.62);

    /** Planning of climbs: like {@link #RENDERING}, with gangs whose estimates are rough. */
    static final PoolSimulation.Deployment CLIMBING = new PoolSimulation.Deployment(
            33,
            8,
            new Resources(64_000, 131_072, 8),
            List.of(
                    urgent("check", 1.36, 3.4, 7.5, 15_000, 0.2),
                    gangs("route", 0.285, 5, 11, 26, 53_000, 0.9),
                    batches("sweep", 0.335, 16, 7.6, 5.6, 8_200)),
            4,
            0.62);

    /** Rendering for a whole region: wide gangs, and previews whose estimates are rough. */
    static final PoolSimulation.Deployment LARGE_RENDERING = new PoolSimulation.Deployment(
            260,
            8,
            new Resources(32_000, 131_072, 8),
            List.of(
                    urgent("preview", 8.43, 4.4, 3.7, 15_000, 0.9),
                    gangs("proof", 2.04, 8.7, 8.5, 13, 53_000, 0.5),
                    batches("batch", 2.51, 26, 6.1, 2.8, 8_200)),
            24,
            0.62);

    /** Auctions: urgent settlements with rough estimates compete with wide valuations and inspections. */
    static final PoolSimulation.Deployment AUCTIONS = new PoolSimulation.Deployment(
            245,
            8,
            new Resources(128_000, 262_144, 8),
            List.of(
                    urgent("settle", 6.9, 5.4, 15, 22_000, 0.75).withSpread(0.15, WorkKind.Tail.NONE),
                    gangs("value", 1.29, 13, 8.5, 52, 110_000, 0.2).withSpread(0.15, WorkKind.Tail.NONE),
                    batches("inspect", 1.59, 39, 6.1, 11, 23_000).withSpread(0.15, WorkKind.Tail.NONE)),
            10,
            0.62,
            List.of(1.0, 1.0, 1.3),
            new PoolSimulation.Swing(0.15, 11_000));

    /** Planning of stock: targets of unequal speed, a strong swing of the demand, runs with a long tail. */
    static final PoolSimulation.Deployment PLANNING = new PoolSimulation.Deployment(
            245,
            8,
            new Resources(64_000, 131_072, 8),
            List.of(
                    urgent("restock", 3.53, 5.4, 7.5, 20_000, 0.2).withSpread(0.15, new WorkKind.Tail(0.03, 7)),
                    gangs("forecast", 0.826, 13, 9.4, 26, 38_000, 0.75).withSpread(0.3, new WorkKind.Tail(0.03, 7)),
                    batches("scan", 0.815, 39, 8.1, 5.6, 8_200).withSpread(0.15, new WorkKind.Tail(0.03, 7))),
            10,
            0.62,
            List.of(0.6, 1.0, 1.6),
            new PoolSimulation.Swing(0.55, 13_000));

    private Deployments() {}

    private static WorkKind urgent(
            String name, double perSecond, double tasks, double cores, int memoryMb, double estimateError) {
        Job.Terms terms = new Job.Terms(0, 2, 1.5, 250);
        return new WorkKind(
                name,
                perSecond,
                4,
                0.8,
                terms,
                1,
                tasks,
                maxTasks(tasks),
                2.5,
                0.5,
                8,
                cores,
                memoryMb,
                MIXED_ACCELERATORS,
                true,
                0.8,
                0,
                estimateError,
                0,
                WorkKind.Tail.NONE);
    }

    private static WorkKind gangs(
            String name,
            double perSecond,
            double tasks,
            double seconds,
            int cores,
            int memoryMb,
            double estimateError) {
        Job.Terms terms = new Job.Terms(1, 2, 3, 1_000);
        return new WorkKind(
                name,
                perSecond,
                3,
                0.9,
                terms,
                1,
                tasks,
                maxTasks(tasks),
                seconds,
                0.3,
                11,
                cores,
                memoryMb,
                MIXED_ACCELERATORS,
                true,
                0.6,
                0.45,
                estimateError,
                0,
                WorkKind.Tail.NONE);
    }

    private static WorkKind batches(
            String name, double perSecond, double tasks, double seconds, double cores, int memoryMb) {
        Job.Terms terms = new Job.Terms(2, 2, 3, 3_000);
        return new WorkKind(
                name,
                perSecond,
                1,
                0.3,
                terms,
                1.3,
                tasks,
                maxTasks(tasks),
                seconds,
                0.3,
                11,
                cores,
                memoryMb,
                SINGLE_ACCELERATOR,
                false,
                0,
                0.45,
                0.5,
                0,
                WorkKind.Tail.NONE);
    }

    private static int maxTasks(double meanTasks) {
        return (int) Math.round(MAX_RELATIVE_WIDTH * meanTasks);
    }
}
