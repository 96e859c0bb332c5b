package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Plays random versions of the operators' settings, which send a queue to other services or drop it, while nodes accept
 * jobs by versions that may be old, the leader reads versions late, and leaders change.
 *
 * <p>What the checks rest on: a job runs where the newest version sent its queue that its acceptance, or a leader that
 * had the job, rests on.
 */
final class MovedQueueSimulationTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 400;
    private static final int MAX_STEP_MILLIS = 400;

    /** Passes at the end, in which everything that is left runs. */
    private static final int FINAL_PASSES = 400;

    /** Number of targets of each service. */
    private static final int TARGETS = 2;

    private static final List<String> SERVICES = List.of("s0", "s1", "s2");

    /** Guards against starts where an older version sent the queue (CONFIG), and jobs that never run (LOST). */
    @Test
    void eachStartIsOnTheServiceOfTheNewestVersionAndEachJobEnds() {
        int moved = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(seed);
            play.run();
            moved += play.movedJobs;
        }
        assertThat(moved).isGreaterThan(SEEDS);
    }

    /** One play in virtual time. */
    private static final class Play {
        private final int seed;
        private final SplittableRandom random;

        /** The service of the queue by version, from 0; empty in a version without the queue. */
        private final List<String> versions = new ArrayList<>(List.of("s0"));

        private final Map<String, Job> jobs = new LinkedHashMap<>();

        /** The version that decides where a job runs, by job; it has the queue. */
        private final Map<String, Integer> decisive = new HashMap<>();

        private final Map<String, JobProgress> persisted = new HashMap<>();
        private final Map<String, String> persistedServices = new HashMap<>();
        private final Map<TaskId, TargetCommand.Start> running = new LinkedHashMap<>();
        private final Map<String, Long> endCounts = new TreeMap<>();
        private Pool pool = new Pool();
        private int leaderVersion;
        private long millis = 1_000_000;
        int movedJobs;

        Play(int seed) {
            this.seed = seed;
            random = new SplittableRandom(seed);
        }

        private ClockReading now() {
            return new ClockReading(millis * 1_000_000, millis);
        }

        void run() {
            lead();
            for (int i = 0; i < STEPS; i++) {
                millis += 1 + random.nextInt(MAX_STEP_MILLIS);
                step();
                pass();
            }
            finish();
        }

        private void step() {
            switch (random.nextInt(8)) {
                case 0 -> versions.add(random.nextInt(4) == 0 ? "" : SERVICES.get(random.nextInt(SERVICES.size())));
                case 1, 2 -> accept();
                case 3, 4 -> readNewestVersion();
                case 5 -> {
                    if (random.nextInt(10) == 0) {
                        lead();
                    }
                }
                default -> endRandomRun();
            }
        }

        /** A node accepts a job by the newest version, or by one of the two before it. */
        private void accept() {
            int version = Math.max(0, versions.size() - 1 - random.nextInt(3));
            if (versions.get(version).isEmpty()) {
                return;
            }
            String id = "j" + jobs.size();
            boolean gang = random.nextInt(3) == 0;
            Step first = gang ? PoolFixture.gang(2, 4, false) : PoolFixture.independentTasks(1 + random.nextInt(3), 4);
            Step second = new Step(
                    1, new Resources(1_000, 1_000, 1), 5_000, List.of(0), Step.Constraints.NONE, Step.Mode.PLAIN);
            Job.Terms terms = new Job.Terms(random.nextInt(3), 100, 3.0, 1_000);
            Job job = new Job(
                    id,
                    "queue",
                    versions.get(version),
                    "account",
                    terms,
                    "",
                    List.of(first, second),
                    Job.Schedule.NOW,
                    millis);
            jobs.put(id, job);
            decisive.put(id, version);
            pool.submit(job, now());
        }

        private void readNewestVersion() {
            leaderVersion = versions.size() - 1;
            configure();
            pool.confirmSettings(now());
            if (!versions.get(leaderVersion).isEmpty()) {
                decisive.replaceAll((job, version) -> leaderVersion);
            }
        }

        private void configure() {
            String service = versions.get(leaderVersion);
            pool.configure(
                    new PoolSettings(Map.of(), Set.of(), service.isEmpty() ? Map.of() : Map.of("queue", service)));
        }

        /** Begins a term, of a process that has read some version and confirms it before it starts work. */
        private void lead() {
            pool = new Pool();
            jobs.forEach((id, job) -> {
                Job last = job.withService(persistedServices.getOrDefault(id, job.service()));
                JobProgress progress = persisted.get(id);
                if (progress == null) {
                    pool.submit(last, now());
                } else {
                    pool.restore(last, progress, now());
                }
            });
            leaderVersion = random.nextInt(versions.size());
            configure();
            SERVICES.forEach(this::addTargets);
            millis++;
            readNewestVersion();
        }

        private void addTargets(String service) {
            for (int i = 0; i < TARGETS; i++) {
                String id = service + "-" + i;
                pool.register(new TargetInfo(
                        id, service, "address", "dc", "r" + i, Set.of(), PoolFixture.TARGET_CAPACITY, false, 0, 1));
                report(id);
            }
        }

        private void reportAll() {
            for (String service : SERVICES) {
                for (int i = 0; i < TARGETS; i++) {
                    report(service + "-" + i);
                }
            }
        }

        private void report(String target, TargetReport.Ended... ended) {
            List<TargetReport.Running> runs = running.values().stream()
                    .filter(start -> start.target().equals(target))
                    .map(start -> new TargetReport.Running(start.task(), start.run(), "", (int) (millis % 100)))
                    .toList();
            long requestNanos = now().monotonicNanos();
            millis++;
            pool.handleReport(new TargetReport(target, 1, requestNanos, runs, List.of(ended), true), now());
        }

        /** Runs a pass and persists what it decides. */
        private Batch decide() {
            pool.schedule(now());
            persistedServices.putAll(pool.takeMovedJobs());
            Batch batch = pool.takeBatch();
            batch.records().forEach(record -> persisted.put(record.id(), record));
            return batch;
        }

        private void pass() {
            Batch batch = decide();
            if (random.nextInt(4) == 0) {
                versions.add(SERVICES.get(random.nextInt(SERVICES.size())));
                readNewestVersion();
            }
            batch.starts().forEach(this::send);
            pool.takeStops().forEach(stop -> end(stop.task(), TargetReport.EndReason.STOPPED));
        }

        private void send(TargetCommand.Start start) {
            if (!pool.isWanted(start)) {
                pool.handleStartFailure(start, "not wanted", 0, now());
                return;
            }
            String job = start.task().job();
            String expected = versions.get(decisive.get(job));
            movedJobs += expected.equals(jobs.get(job).service()) ? 0 : 1;
            assertWithMessage("seed %s: start of %s on %s, version %s", seed, job, start.target(), decisive.get(job))
                    .that(start.target())
                    .startsWith(expected);
            running.put(start.task(), start);
            pool.handleStarted(start, now());
        }

        private void endRandomRun() {
            if (!running.isEmpty()) {
                TaskId task = List.copyOf(running.keySet()).get(random.nextInt(running.size()));
                end(task, random.nextInt(3) == 0 ? TargetReport.EndReason.FAILED : TargetReport.EndReason.DONE);
            }
        }

        private void end(TaskId task, TargetReport.EndReason reason) {
            TargetCommand.Start start = running.remove(task);
            if (start != null) {
                long number = endCounts.merge(start.target(), 1L, Long::sum);
                report(start.target(), new TargetReport.Ended(number, task, start.run(), reason, ""));
            }
        }

        private void finish() {
            versions.add("s1");
            readNewestVersion();
            for (int i = 0; i < FINAL_PASSES; i++) {
                millis += MAX_STEP_MILLIS;
                reportAll();
                Batch batch = decide();
                batch.starts().forEach(this::send);
                pool.takeStops().forEach(stop -> end(stop.task(), TargetReport.EndReason.STOPPED));
                List.copyOf(running.keySet()).forEach(task -> end(task, TargetReport.EndReason.DONE));
            }
            for (String id : jobs.keySet()) {
                assertWithMessage("seed %s: %s", seed, id)
                        .that(persisted.get(id).state())
                        .isEqualTo(JobState.DONE);
            }
        }
    }
}
