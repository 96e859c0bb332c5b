package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static org.acaciaport.node.LogAccessFixture.ACCESS;
import static org.acaciaport.node.LogAccessFixture.QUEUE;
import static org.acaciaport.node.LogAccessFixture.STEPS;
import static org.acaciaport.node.LogAccessFixture.TOPIC;
import static org.acaciaport.node.LogAccessFixture.await;
import static org.acaciaport.node.LogAccessFixture.shortDeadline;
import static org.acaciaport.node.LogAccessFixture.submit;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Step;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests answers to callers, against an in-memory log. */
final class JobServiceTest {
    private final LogAccessFixture fixture = new LogAccessFixture();
    private final MemoryLog log = fixture.log;
    private final TopicConsumer jobConsumer = fixture.jobConsumer;

    @BeforeAll
    static void loadClasses() throws IOException {
        LogAccessFixture.loadClasses();
    }

    private AppendOutcome append(KeyedRecord record) {
        return log.append(new Append(TOPIC, List.of(record), new Append.Always()), shortDeadline());
    }

    /**
     * Guards against holding requests until their deadline during an outage of the log, and then answering that their
     * outcome is unknown although nothing was written. Callers retry a request that was refused in time, but not one
     * whose outcome was answered as unknown at its deadline.
     */
    @Test
    void requestsAreRefusedImmediatelyWhileTheLogIsUnreachable() {
        log.failure = MemoryLog.Failure.REFUSE;
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Refused.class);
        int calls = log.calls;
        assertThat(submit(jobService, "b")).isInstanceOf(JobService.Answer.Refused.class);
        assertThat(log.calls).isEqualTo(calls);
    }

    /**
     * Guards against callers that wait a second before they retry although only this node is partitioned, so that the
     * retry would reach another node.
     */
    @Test
    void callersOfAnIsolatedNodeRetryImmediately() {
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Accepted.class);
        log.failure = MemoryLog.Failure.REFUSE;
        submit(jobService, "b");
        assertThat(jobService.retryAfterSeconds()).isEqualTo(1);
        await(() -> jobService.retryAfterSeconds() == 0);
        log.failure = MemoryLog.Failure.NONE;
        jobConsumer.catchUp(shortDeadline());
        assertThat(jobService.retryAfterSeconds()).isEqualTo(1);
    }

    /** Guards against a caller who sends again and again a job that the log never takes. */
    @Test
    void aJobBeyondTheLimitOfTheLogIsNotSent() {
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        List<Step> steps = Collections.nCopies(20_000, STEPS.get(0));
        JobService.Answer answer =
                jobService.submit(ACCESS, "a", "payload", steps, Job.Schedule.NOW, Clocks.deadlineAfter(2_000));
        assertThat(answer).isInstanceOf(JobService.Answer.TooLarge.class);
        assertThat(log.calls).isEqualTo(0);
    }

    @Test
    void aJobThatTheLogRejectsIsSentOnce() {
        log.rejectedKey = "job/a";
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.TooLarge.class);
        assertThat(log.calls).isEqualTo(1);
        assertThat(submit(jobService, "b")).isInstanceOf(JobService.Answer.Accepted.class);
    }

    /** Guards against an untrue state (MIXED): a node that has just started has read the job and not its end. */
    @Test
    void aNodeThatHasReadAPartOfTheLogAnswersNothingAboutAJob() {
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Accepted.class);
        fixture.replica.apply(
                ((ReadOutcome.Records) log.read(TOPIC, 0, 0, shortDeadline()))
                        .records()
                        .get(0),
                0);
        log.failure = MemoryLog.Failure.REFUSE;
        assertThat(jobService.queryState(ACCESS, "a", shortDeadline())).isInstanceOf(JobService.Answer.Refused.class);
        log.failure = MemoryLog.Failure.NONE;
        assertThat(jobService.queryState(ACCESS, "a", shortDeadline())).isInstanceOf(JobService.Answer.State.class);
    }

    @Test
    void aLostAnswerIsNeverARefusal() {
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        assertThat(submit(fixture.newJobService(KeyedRecord.tombstone("config")), "a"))
                .isInstanceOf(JobService.Answer.Undetermined.class);
    }

    /**
     * Guards against holding a request of unknown outcome until its deadline. This happens when a data centre is
     * partitioned during an append; the caller needs the remaining time to try a node that reaches the log.
     */
    @Test
    void aRequestOfUnknownOutcomeIsAnsweredEarlyWhileTheLogIsUnreachable() {
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        long deadline = Clocks.deadlineAfter(2_000);
        JobService.Answer answer = jobService.submit(ACCESS, "a", "payload", STEPS, Job.Schedule.NOW, deadline);
        assertThat(answer).isInstanceOf(JobService.Answer.Undetermined.class);
        assertThat(log.calls).isEqualTo(1);
    }

    /**
     * Guards against answering a request with no time left as undetermined, although nothing was sent. This happens to
     * retries that arrive a few milliseconds before their deadline.
     */
    @Test
    void aRequestWithNoTimeLeftIsRefusedAndNotSent() {
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        JobService.Answer answer =
                jobService.submit(ACCESS, "a", "payload", STEPS, Job.Schedule.NOW, System.nanoTime());
        assertThat(answer).isInstanceOf(JobService.Answer.Refused.class);
        assertThat(log.calls).isEqualTo(0);
    }

    @Test
    void aRepeatedSubmissionIsOneJobAndKeepsItsProgress() {
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Accepted.class);
        append(JobRecords.encode(new JobProgress("a", JobState.DONE, 1, List.of(), List.of())));
        submit(jobService, "a");
        assertThat(jobConsumer.catchUp(shortDeadline())).isTrue();
        assertThat(jobService.queryState(ACCESS, "a", shortDeadline()))
                .isEqualTo(new JobService.Answer.State(JobState.DONE));
    }

    @Test
    void aJobOfAnotherAccountIsNotShown() {
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        submit(jobService, "a");
        JobService.Access.Granted other = new JobService.Access.Granted(QUEUE, "other", "a");
        assertThat(jobService.queryState(other, "a", shortDeadline())).isInstanceOf(JobService.Answer.NoJob.class);
        assertThat(jobService.cancel(other, "a", shortDeadline())).isInstanceOf(JobService.Answer.NoJob.class);
    }

    @Test
    void onlyACurrentReplicaReportsThatAJobDoesNotExist() {
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        assertThat(jobService.queryState(ACCESS, "none", shortDeadline())).isInstanceOf(JobService.Answer.NoJob.class);
        log.failure = MemoryLog.Failure.REFUSE;
        assertThat(jobService.queryState(ACCESS, "none", shortDeadline()))
                .isInstanceOf(JobService.Answer.Refused.class);
    }

    @Test
    void callsAreAuthorizedOnlyWhileTheConfigurationIsCurrent() {
        ConfigurationView configuration = LogAccessFixture.newConfiguration();
        JobService jobService = fixture.newJobService(configuration, 1);
        assertThat(jobService.authorize("host", "/p/a", "key"))
                .isInstanceOf(JobService.Access.StaleConfiguration.class);
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(new ClockReading(System.nanoTime(), 0), 1);
        assertThat(jobService.authorize("host", "/p/a", "key"))
                .isInstanceOf(JobService.Access.StaleConfiguration.class);
    }
}
