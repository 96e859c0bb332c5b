package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.primitives.Ints;
import java.util.List;
import java.util.TreeSet;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.RunEnds;
import org.acaciaport.pool.Step;
import org.junit.jupiter.api.Test;

/** Tests that a replica restores what a leader encoded, whichever records it needed for that. */
final class ProgressEncoderTest {
    private final ProgressEncoder encoder = new ProgressEncoder();
    private final Replica replica = new Replica();
    private long offset;

    ProgressEncoderTest() {
        Step step = new Step(3, Resources.NONE, 1, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(0, 1, 1, 1);
        apply(List.of(
                JobRecords.encode(new Job("a", "q", "s", "account", terms, "", List.of(step), Job.Schedule.NOW, 0))));
    }

    private void apply(List<KeyedRecord> records) {
        for (KeyedRecord record : records) {
            replica.apply(record, offset);
            offset++;
        }
    }

    private JobProgress restored() {
        JobProgress progress = replica.attach(null).get(0).progress();
        TreeSet<Integer> indices = new TreeSet<>();
        progress.tasks().forEach(task -> indices.add(task.index()));
        return progress.withTasks(indices.stream()
                .map(index -> progress.tasks().stream()
                        .filter(task -> task.index() == index)
                        .findFirst()
                        .orElseThrow())
                .toList());
    }

    private static JobProgress.Task running(int index, int run) {
        return new JobProgress.Task(0, 0, index, run, 0, false, "t" + index, 7, "");
    }

    private static JobProgress.Task done(int index) {
        return new JobProgress.Task(0, 0, index, 1, 0, true, "", 0, "");
    }

    private static JobProgress progress(JobState state, JobProgress.Task... tasks) {
        return new JobProgress("a", state, state.isTerminal() ? 9 : 0, List.of(), List.of(tasks));
    }

    @Test
    void theReplicaRestoresEachProgressThatWasEncoded() {
        List<JobProgress> history = List.of(
                progress(JobState.RUNNING, running(0, 1)),
                progress(JobState.RUNNING, running(0, 1), running(1, 1)),
                progress(JobState.RUNNING, done(0), running(1, 1), running(2, 1)),
                progress(JobState.RUNNING, done(0), running(1, 2), running(2, 1)),
                progress(JobState.CANCELLED, running(1, 2), running(2, 1)),
                progress(JobState.CANCELLED, running(2, 1)),
                progress(JobState.CANCELLED));
        for (JobProgress progress : history) {
            apply(encoder.encode(progress));
            assertThat(restored()).isEqualTo(progress);
        }
    }

    @Test
    void onlyWhatChangedIsEncoded() {
        encoder.encode(progress(JobState.RUNNING, running(0, 1), running(1, 1)));
        List<KeyedRecord> records = encoder.encode(progress(JobState.RUNNING, done(0), running(1, 1)));
        assertThat(records).hasSize(1);
        assertThat(encoder.encode(progress(JobState.RUNNING, done(0), running(1, 1))))
                .isEmpty();
    }

    /** Guards against a leader that, after a takeover, leaves in the log tasks that it did not write itself. */
    @Test
    void tasksWrittenByAnEarlierLeaderAreRemoved() {
        JobProgress earlier = progress(JobState.RUNNING, running(0, 1), running(1, 1));
        apply(new ProgressEncoder().encode(earlier));
        encoder.restore(restored(), false);
        apply(encoder.encode(progress(JobState.CANCELLED)));
        assertThat(restored()).isEqualTo(progress(JobState.CANCELLED));
        apply(encoder.remove("a"));
        assertThat(replica.find("a").progress()).isNull();
    }

    /** Guards against a takeover that writes the progress of all jobs anew, beyond the log's limit (LOST). */
    @Test
    void aRestoredJobIsNotEncodedAnew() {
        apply(new ProgressEncoder().encode(progress(JobState.RUNNING, running(0, 1), running(1, 1))));
        JobEntry entry = replica.attach(null).get(0);
        encoder.restore(restored(), entry.tasksEmbedded());
        assertThat(encoder.encode(progress(JobState.RUNNING, done(0), running(1, 1))))
                .hasSize(1);
    }

    /** Guards against finished tasks that a successor runs again (TWICE), since it read a part of a batch. */
    @Test
    void theEndOfAJobIsReadBeforeTheDeletionOfItsTasks() {
        apply(encoder.encode(progress(JobState.RUNNING, done(0), done(1), running(2, 1))));
        List<KeyedRecord> records = encoder.encode(progress(JobState.DONE));
        assertThat(records).hasSize(4);
        apply(records.subList(0, 1));
        assertThat(restored().state()).isEqualTo(JobState.DONE);
    }

    /** Guards against a job that a successor runs anew (TWICE), since it read only the deletion of its progress. */
    @Test
    void embeddedTasksAreReadUntilTheyHaveRecordsOfTheirOwn() {
        JobProgress embedded = progress(JobState.RUNNING, running(0, 3), done(1), done(2));
        apply(List.of(JobRecords.encode(embedded)));
        encoder.restore(restored(), replica.attach(null).get(0).tasksEmbedded());
        for (KeyedRecord record : encoder.encode(progress(JobState.RUNNING, done(0), done(1), done(2)))) {
            apply(List.of(record));
            assertThat(restored().tasks()).hasSize(3);
        }
    }

    /** Guards against tasks that are lost when the log keeps only the newest record of each key after an upgrade. */
    @Test
    void tasksInTheRecordOfTheirJobGetRecordsOfTheirOwnWithTheNextChange() {
        JobProgress embedded = progress(JobState.RUNNING, running(0, 3), done(1), done(2));
        encoder.restore(embedded, true);
        JobProgress changed = progress(JobState.RUNNING, done(0), done(1), done(2));
        apply(encoder.encode(changed));
        assertThat(restored()).isEqualTo(changed);
    }

    /** Guards against work that runs twice after an upgrade, whose log has the tasks in the record of their job. */
    @Test
    void tasksInTheRecordOfTheirJobAreRestored() {
        JobProgress embedded = progress(JobState.RUNNING, running(0, 3), done(1));
        apply(List.of(JobRecords.encode(embedded)));
        assertThat(restored()).isEqualTo(embedded);
        encoder.restore(restored(), replica.attach(null).get(0).tasksEmbedded());
        apply(encoder.encode(progress(JobState.RUNNING, done(0), done(1))));
        assertThat(restored()).isEqualTo(progress(JobState.RUNNING, done(0), done(1)));
    }

    private static JobProgress.Task withEnds(JobProgress.Task task, int... failedRuns) {
        RunEnds.Unreported unreported = new RunEnds.Unreported(3, "silent", 7);
        return new JobProgress.Task(
                task.occurrence(),
                task.step(),
                task.index(),
                task.lastRun(),
                failedRuns.length,
                task.done(),
                task.target(),
                task.incarnation(),
                task.saved(),
                new RunEnds(Ints.asList(failedRuns), List.of(unreported)));
    }

    /** Guards against failures that a successor counts twice or not at all (BUDGET). */
    @Test
    void theReplicaRestoresTheEndsOfRuns() {
        List<JobProgress> history = List.of(
                progress(JobState.RUNNING, withEnds(running(0, 4), 1)),
                progress(JobState.RUNNING, withEnds(running(0, 5), 1, 4)),
                progress(JobState.RUNNING, running(0, 5)),
                progress(JobState.RUNNING, withEnds(running(0, 6), 2)),
                progress(JobState.RUNNING, done(0)));
        for (JobProgress progress : history) {
            apply(encoder.encode(progress));
            assertThat(restored()).isEqualTo(progress);
        }
    }

    /** Guards against a failure that counts twice, as a successor read its record but not that of its task, or less. */
    @Test
    void aSuccessorThatReadsTheFirstRecordsOnlyKnowsWhichRunsHaveFailed() {
        apply(encoder.encode(progress(JobState.RUNNING, withEnds(running(0, 4), 1))));
        List<KeyedRecord> records = encoder.encode(progress(JobState.RUNNING, withEnds(running(0, 5), 1, 4)));
        assertThat(records).hasSize(2);
        apply(records.subList(0, 1));
        assertThat(restored().tasks().get(0).ends().failedRuns()).containsExactly(1, 4);
        apply(records.subList(1, 2));
        assertThat(restored().tasks().get(0).ends().failedRuns()).containsExactly(1, 4);
    }

    /** Guards against records of ended jobs that stay in the log for ever. */
    @Test
    void theEndsOfRunsAreRemovedWithTheirJob() {
        apply(encoder.encode(progress(JobState.RUNNING, withEnds(running(0, 4), 1))));
        List<String> removed =
                encoder.remove("a").stream().map(KeyedRecord::key).toList();
        assertThat(removed).containsExactly("progress/a", "task/a/0.0.0", "ends/a/0.0.0");
    }
}
