package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Batch;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.PoolSettings;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetInfo;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Tests that a successor which read any first part of a leader's last batch runs no finished task again and ends every
 * job. All targets are sound; leaders fail between the appends of a batch.
 */
final class CutBatchTest {
    private static final int SEEDS = 60;
    private static final int MAX_ROUNDS = 4_000;
    private static final int TARGETS = 4;
    private static final int ROUND_MILLIS = 50;

    /** Share of the batches after a part of which the leader fails, in percent. */
    private static final int CUT_PERCENT = 20;

    private static final int END_PERCENT = 30;
    private static final int FAILURE_PERCENT = 20;

    /** One play of random jobs, ends and failures of leaders. */
    private static final class Play {
        private final SplittableRandom random;
        private final Replica replica = new Replica();
        private final Map<String, Target> targets = new TreeMap<>();
        private final Map<TaskId, String> activeOn = new HashMap<>();
        private final Set<TaskId> done = new HashSet<>();
        private Pool pool;
        private ProgressEncoder encoder;
        private long offset;
        private long millis = 1_000_000;
        private int cuts;

        Play(long seed) {
            random = new SplittableRandom(seed);
            for (int i = 0; i < TARGETS; i++) {
                targets.put("t" + i, new Target("t" + i));
            }
        }

        private ClockReading now() {
            return new ClockReading(millis * 1_000_000, millis);
        }

        private boolean happens(int percent) {
            return random.nextInt(100) < percent;
        }

        private void apply(KeyedRecord record) {
            replica.apply(record, offset);
            offset++;
        }

        private void submit(Job job) {
            apply(JobRecords.encode(job));
        }

        /** Begins the term of a leader that knows what the log has. */
        private void lead() {
            pool = new Pool();
            encoder = new ProgressEncoder();
            pool.configure(new PoolSettings(Map.of(), Set.of(), Map.of()));
            for (JobEntry entry : replica.attach(null)) {
                if (entry.progress() == null) {
                    pool.submit(entry.job(), now());
                } else {
                    pool.restore(entry.job(), entry.progress(), now());
                    encoder.restore(entry.progress(), entry.tasksEmbedded());
                }
            }
            Resources capacity = new Resources(8, 8, 8);
            for (String id : targets.keySet()) {
                pool.register(new TargetInfo(id, "s", "host:1", "dc", "r", Set.of(), capacity, false, 0, 1));
            }
        }

        private boolean isOver() {
            return replica.attach(null).stream().allMatch(entry -> entry.state() == JobState.DONE);
        }

        private void playRound() {
            for (Target target : targets.values()) {
                target.endRuns();
                millis++;
                pool.handleReport(target.report(), now());
            }
            millis += ROUND_MILLIS;
            pool.schedule(now());
            for (TargetCommand.Stop stop : pool.takeStops()) {
                targets.get(stop.target()).end(stop.task(), stop.run(), TargetReport.EndReason.STOPPED);
            }
            write(pool.takeBatch());
        }

        /** Writes a batch and carries out what depends on it, or writes a part of it and begins another term. */
        private void write(Batch batch) {
            List<KeyedRecord> records = new ArrayList<>();
            batch.records().forEach(progress -> records.addAll(encoder.encode(progress)));
            if (!records.isEmpty() && happens(CUT_PERCENT)) {
                records.subList(0, random.nextInt(records.size())).forEach(this::apply);
                cuts++;
                lead();
                return;
            }
            records.forEach(this::apply);
            batch.starts().forEach(start -> targets.get(start.target()).start(start));
            batch.acknowledgements().forEach((id, ack) -> targets.get(id).acknowledge(ack.upTo()));
        }

        /** A target that runs what it is told to. */
        private final class Target {
            private final String id;
            private final Map<TaskId, Integer> running =
                    new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
            private final List<TargetReport.Ended> ended = new ArrayList<>();
            private long endCount;

            Target(String id) {
                this.id = id;
            }

            void start(TargetCommand.Start start) {
                TaskId task = start.task();
                assertWithMessage("done task %s runs again", task).that(done).doesNotContain(task);
                assertWithMessage("task %s runs on two targets", task)
                        .that(activeOn)
                        .doesNotContainKey(task);
                running.put(task, start.run());
                activeOn.put(task, id);
            }

            void endRuns() {
                for (Map.Entry<TaskId, Integer> run : List.copyOf(running.entrySet())) {
                    if (running.containsKey(run.getKey()) && happens(END_PERCENT)) {
                        boolean fails = happens(FAILURE_PERCENT);
                        endWithGang(run.getKey(), fails ? TargetReport.EndReason.FAILED : TargetReport.EndReason.DONE);
                    }
                }
            }

            /** Ends a run; a gang ends as done together, and only if all its members run. */
            private void endWithGang(TaskId task, TargetReport.EndReason reason) {
                if (!task.job().startsWith("gang") || reason != TargetReport.EndReason.DONE) {
                    end(task, running.get(task), reason);
                    return;
                }
                List<TaskId> members = activeOn.keySet().stream()
                        .filter(each -> each.job().equals(task.job()) && each.step() == task.step())
                        .toList();
                if (members.size() == GANG_SIZE) {
                    members.forEach(each -> targets.get(activeOn.get(each)).endAsDone(each));
                }
            }

            private void endAsDone(TaskId task) {
                end(task, running.get(task), TargetReport.EndReason.DONE);
            }

            void end(TaskId task, int run, TargetReport.EndReason reason) {
                if (!running.remove(task, run)) {
                    return;
                }
                activeOn.remove(task);
                endCount++;
                ended.add(new TargetReport.Ended(endCount, task, run, reason, ""));
                if (reason == TargetReport.EndReason.DONE) {
                    done.add(task);
                }
            }

            void acknowledge(long upTo) {
                ended.removeIf(end -> end.number() <= upTo);
            }

            TargetReport report() {
                List<TargetReport.Running> runs = new ArrayList<>();
                running.forEach((task, run) -> runs.add(new TargetReport.Running(task, run, "", (int) (millis % 100))));
                return new TargetReport(id, 1, now().monotonicNanos() - 1, runs, ended, true);
            }
        }
    }

    private static final int GANG_SIZE = 3;

    private static Step step(int count, boolean gang, Integer... after) {
        Step.Mode mode = new Step.Mode(gang, false, false, false, false, 0);
        return new Step(count, new Resources(2, 2, 2), 1_000, List.of(after), Step.Constraints.NONE, mode);
    }

    private static Job job(String id, Job.Schedule schedule, Step... steps) {
        Job.Terms terms = new Job.Terms(1, 1_000, 3, 1_000);
        return new Job(id, "q", "s", "account", terms, "payload", List.of(steps), schedule, 1_000_000);
    }

    /** Guards against tasks that run twice (TWICE) or never end (LOST) after a leader failed within a batch. */
    @Test
    void aSuccessorThatReadAPartOfABatchRunsNoFinishedTaskAgain() {
        int cuts = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(seed);
            play.submit(job("steps", Job.Schedule.NOW, step(5, false), step(4, false, 0), step(3, false, 0, 1)));
            play.submit(job("gang", Job.Schedule.NOW, step(GANG_SIZE, true), step(GANG_SIZE, true, 0)));
            play.submit(job("times", new Job.Schedule(6, 1_000_000, 100), step(2, false), step(1, false, 0)));
            play.lead();
            for (int round = 0; round < MAX_ROUNDS && !play.isOver(); round++) {
                play.playRound();
            }
            assertWithMessage("seed %s: all jobs are done", seed)
                    .that(play.isOver())
                    .isTrue();
            cuts += play.cuts;
        }
        assertThat(cuts).isGreaterThan(SEEDS);
    }
}
