package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.acaciaport.pool.TargetReport.EndReason;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays gangs and single tasks on targets that are cut off and restart, under leaders that are replaced between a
 * record and what depends on it. Guards against an end that is acknowledged and not counted, or counted twice (BUDGET,
 * TWICE), in an order of reports, leaders and restarts that no other test has.
 */
final class RunEndSimulationTest {
    private static final int STEP_MILLIS = 50;
    private static final int FAULTY_STEPS = 1_200;

    /** Time in which all jobs end once there are no faults, in steps. */
    private static final int CALM_STEPS = 2_400;

    private static final int JOBS = 5;
    private static final int TARGETS = 6;
    private static final int MAX_CUT_MILLIS = 9_000;

    /** Time after the last contact at which the leader takes a lease for expired, in milliseconds. */
    private static final long LEASE_WAIT_MILLIS = FlakyTarget.LEASE_MILLIS + 300;

    /** A start that a target has carried out. */
    private record Started(TaskId task, int run, long millis) {}

    private final Map<String, FlakyTarget> targets = new LinkedHashMap<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, JobProgress> durable = new HashMap<>();
    private final List<Started> started = new ArrayList<>();
    private Random random;
    private Pool pool;
    private long millis = 1_000_000;
    private long leadingSinceMillis;
    private boolean faulty;

    private ClockReading now() {
        return new ClockReading(millis * 1_000_000, millis);
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25})
    void eachEndThatIsAcknowledgedIsCountedOnce(int seed) {
        random = new Random(seed);
        for (int i = 0; i < TARGETS; i++) {
            targets.put("t" + i, new FlakyTarget("t" + i));
        }
        for (int i = 0; i < JOBS; i++) {
            boolean gang = i % 2 == 0;
            Step step = gang ? PoolFixture.gang(2 + i % 3, 4, false) : PoolFixture.independentTasks(2, 4);
            Job.Terms terms = new Job.Terms(1, 1 + random.nextInt(4), 3.0, 1_000);
            jobs.put(
                    "job" + i,
                    new Job(
                            "job" + i,
                            "queue",
                            PoolFixture.SERVICE,
                            "x",
                            terms,
                            "payload",
                            List.of(step),
                            Job.Schedule.NOW,
                            millis));
        }
        takeOver();
        faulty = true;
        for (int i = 0; i < FAULTY_STEPS; i++) {
            play();
        }
        faulty = false;
        for (int i = 0; i < CALM_STEPS; i++) {
            play();
        }
        for (Job job : jobs.values()) {
            JobProgress progress = durable.get(job.id());
            assertWithMessage(job.id()).that(progress.state().isTerminal()).isTrue();
            assertFailedWithCause(job, progress);
        }
        started.forEach(this::assertWithinBudget);
    }

    private void play() {
        millis += STEP_MILLIS;
        targets.values().forEach(this::disturb);
        endRuns();
        for (FlakyTarget target : targets.values()) {
            target.expireLease(millis);
            hearOf(target);
        }
        pool.schedule(now());
        pool.takeStops().forEach(this::stop);
        Batch batch = pool.takeBatch();
        batch.records().forEach(record -> durable.put(record.id(), record));
        if (faulty && chance(0.01)) {
            takeOver();
            return;
        }
        batch.acknowledgements().forEach((id, upTo) -> {
            if (!targets.get(id).isCut(millis)) {
                targets.get(id).acknowledge(upTo);
            }
        });
        batch.starts().forEach(this::start);
    }

    private void disturb(FlakyTarget target) {
        if (faulty && !target.isCut(millis) && chance(0.01)) {
            target.cutUntilMillis = millis + random.nextInt(MAX_CUT_MILLIS);
        }
        if (faulty && chance(0.001)) {
            List<TaskId> lost = List.copyOf(target.running.keySet());
            target.restart();
            register(target);
            lost.forEach(this::breakGang);
        }
    }

    /** Ends some runs by themselves; a gang fails or is done only while all its members are there. */
    private void endRuns() {
        for (FlakyTarget target : targets.values()) {
            for (Map.Entry<TaskId, Integer> run : target.runs().entrySet()) {
                if (!chance(0.03) || !isComplete(run.getKey(), run.getValue())) {
                    continue;
                }
                boolean done = chance(0.15);
                target.end(run.getKey(), run.getValue(), done ? EndReason.DONE : EndReason.FAILED, millis);
                endOthers(run.getKey(), run.getValue(), done ? EndReason.DONE : EndReason.BROKEN);
            }
        }
    }

    private boolean isGang(TaskId task) {
        return jobs.get(task.job()).steps().get(0).mode().gang();
    }

    private boolean isComplete(TaskId task, int run) {
        if (!isGang(task)) {
            return true;
        }
        long members = targets.values().stream()
                .flatMap(target -> target.running.entrySet().stream())
                .filter(each -> each.getKey().job().equals(task.job()) && each.getValue() == run)
                .count();
        return members == jobs.get(task.job()).steps().get(0).count();
    }

    private void breakGang(TaskId task) {
        if (isGang(task)) {
            int run = targets.values().stream()
                    .flatMap(target -> target.running.entrySet().stream())
                    .filter(each -> each.getKey().job().equals(task.job()))
                    .mapToInt(Map.Entry::getValue)
                    .max()
                    .orElse(0);
            endOthers(task, run, EndReason.BROKEN);
        }
    }

    /** Ends the other members of the gang of {@code task}; has no effect on a single task. */
    private void endOthers(TaskId task, int run, EndReason reason) {
        if (!isGang(task)) {
            return;
        }
        for (FlakyTarget target : targets.values()) {
            for (TaskId other : List.copyOf(target.running.keySet())) {
                if (other.job().equals(task.job())) {
                    target.end(other, run, reason, millis);
                }
            }
        }
    }

    private void hearOf(FlakyTarget target) {
        long lastContact = Math.max(target.lastContactMillis, leadingSinceMillis);
        if (target.isCut(millis)) {
            if (millis - lastContact > LEASE_WAIT_MILLIS) {
                pool.handleLeaseExpiry(target.id, 0, now());
            }
        } else if (chance(0.5)) {
            pool.handleReport(target.report(millis, now().monotonicNanos()), now());
        }
    }

    private void stop(TargetCommand.Stop stop) {
        FlakyTarget target = targets.get(stop.target());
        if (!target.isCut(millis) && target.end(stop.task(), stop.run(), EndReason.STOPPED, millis)) {
            endOthers(stop.task(), stop.run(), EndReason.BROKEN);
        }
    }

    private void start(TargetCommand.Start start) {
        FlakyTarget target = targets.get(start.target());
        if (!pool.isWanted(start) || target.isCut(millis) || faulty && chance(0.05)) {
            pool.handleStartFailure(start, "refused", 0, now());
            return;
        }
        if (!target.start(start)) {
            pool.handleStartFailure(start, "old run", 0, now());
            return;
        }
        started.add(new Started(start.task(), start.run(), millis));
        long runs = targets.values().stream()
                .filter(each -> each.running.containsKey(start.task()))
                .count();
        assertWithMessage("runs of %s at once", start.task()).that(runs).isEqualTo(1);
        pool.handleStarted(start, now());
    }

    private void takeOver() {
        pool = new Pool();
        leadingSinceMillis = millis;
        targets.values().forEach(this::register);
        for (Job job : jobs.values()) {
            JobProgress progress = durable.get(job.id());
            if (progress == null) {
                pool.submit(job, now());
            } else {
                pool.restore(job, progress, now());
            }
        }
    }

    private void register(FlakyTarget target) {
        pool.register(new TargetInfo(
                target.id,
                PoolFixture.SERVICE,
                "address",
                "dc",
                "r1",
                Set.of(),
                PoolFixture.TARGET_CAPACITY,
                false,
                0,
                target.incarnation));
    }

    private List<FlakyTarget.End> endsOf(TaskId task) {
        return targets.values().stream()
                .flatMap(target -> target.ends.stream())
                .filter(end -> end.reported.task().equals(task))
                .toList();
    }

    /** Requires that no noted end of an earlier run forbade the start. */
    private void assertWithinBudget(Started start) {
        List<EndReason> before = endsOf(start.task()).stream()
                .filter(end -> end.noted && end.millis < start.millis())
                .map(end -> end.reported.reason())
                .toList();
        long failures = before.stream().filter(EndReason.FAILED::equals).count();
        assertWithMessage("%s after %s", start, before).that(failures).isLessThan((long)
                jobs.get(start.task().job()).terms().attempts());
        assertWithMessage("%s", start).that(before).doesNotContain(EndReason.DONE);
    }

    private void assertFailedWithCause(Job job, JobProgress progress) {
        if (progress.state() != JobState.FAILED) {
            return;
        }
        long most = 0;
        long all = 0;
        for (int i = 0; i < job.steps().get(0).count(); i++) {
            long failed = endsOf(PoolFixture.taskId(job.id(), i)).stream()
                    .filter(end -> end.reported.reason() == EndReason.FAILED)
                    .count();
            most = Math.max(most, failed);
            all += failed;
        }
        boolean gang = job.steps().get(0).mode().gang();
        assertThat(gang ? all : most).isAtLeast((long) job.terms().attempts());
    }
}
