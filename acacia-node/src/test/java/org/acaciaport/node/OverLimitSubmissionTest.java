package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static org.acaciaport.node.LogAccessFixture.ACCESS;
import static org.acaciaport.node.LogAccessFixture.shortDeadline;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the refusal of jobs that can never start under the limits of their account. */
final class OverLimitSubmissionTest {
    private static final Step.Mode GANG = new Step.Mode(true, false, false, false, false, 0);
    private static final Step.Mode FILLING = new Step.Mode(false, false, false, false, true, 0);
    private static final Map<String, AccountTerms> LIMITED =
            Map.of("account", AccountTerms.ofLimit(new Resources(4_000, 0, 8)));

    private final LogAccessFixture fixture = new LogAccessFixture();

    @BeforeAll
    static void loadClasses() throws IOException {
        LogAccessFixture.loadClasses();
    }

    @BeforeEach
    void useLimits() {
        fixture.scheduling = new SchedulingSettings(false, false, false, true);
    }

    /** Guards against refusals for a limit that is switched off. */
    @Test
    void withoutLimitsInUseAGangBeyondTheLimitIsAccepted() {
        fixture.scheduling = SchedulingSettings.OFF;
        JobService jobService = fixture.newJobService(LIMITED);
        assertThat(submit(jobService, "a", step(3, 1, 3, GANG))).isInstanceOf(JobService.Answer.Accepted.class);
    }

    private static Step step(int count, long cpuMillis, long accelerators, Step.Mode mode) {
        Resources demand = new Resources(cpuMillis, 100, accelerators);
        return new Step(count, demand, 1_000, List.of(), Step.Constraints.NONE, mode);
    }

    private static JobService.Answer submit(JobService jobService, String id, Step... steps) {
        return jobService.submit(ACCESS, id, "payload", List.of(steps), Job.Schedule.NOW, shortDeadline());
    }

    /** Guards against a gang that is accepted and never starts, and against a refused job that is in the log. */
    @Test
    void aGangBeyondTheLimitIsRefusedAndNotWritten() {
        JobService jobService = fixture.newJobService(LIMITED);
        JobService.Answer answer = submit(jobService, "a", step(1, 1, 1, GANG), step(3, 1, 3, GANG));
        assertThat(answer).isInstanceOf(JobService.Answer.OverLimit.class);
        JobService.Answer.OverLimit refusal = (JobService.Answer.OverLimit) answer;
        assertThat(refusal.reason()).containsMatch("account account .*step 1 needs 9 accelerators.*limit is 8");
        assertThat(refusal.retryAfterSeconds()).isAtLeast(1);
        assertThat(fixture.jobConsumer.catchUp(shortDeadline())).isTrue();
        assertThat(fixture.replica.find("a")).isNull();
    }

    /** Guards against single tasks that never start, also if they use only idle processors. */
    @Test
    void aTaskBeyondTheLimitIsRefused() {
        JobService jobService = fixture.newJobService(LIMITED);
        assertThat(submit(jobService, "a", step(1, 1, 9, Step.Mode.PLAIN)))
                .isInstanceOf(JobService.Answer.OverLimit.class);
        assertThat(submit(jobService, "b", step(1, 4_001, 0, FILLING))).isInstanceOf(JobService.Answer.OverLimit.class);
    }

    /** Guards against a refusal of work that fits, or that fits in parts. */
    @Test
    void stepsThatFitAtOnceOrInPartsAreAccepted() {
        JobService jobService = fixture.newJobService(LIMITED);
        assertThat(submit(jobService, "a", step(8, 500, 1, GANG))).isInstanceOf(JobService.Answer.Accepted.class);
        assertThat(submit(jobService, "b", step(100, 4_000, 8, Step.Mode.PLAIN)))
                .isInstanceOf(JobService.Answer.Accepted.class);
    }

    /**
     * Guards against an untrue refusal: the job was accepted before the limit was lowered, at another node whose record
     * this one has not read.
     */
    @Test
    void aRetryOfAnAcceptedJobIsAcceptedAlthoughTheLimitWasLowered() {
        assertThat(submit(fixture.newJobService(Map.of()), "a", step(9, 1, 1, GANG)))
                .isInstanceOf(JobService.Answer.Accepted.class);
        assertThat(fixture.replica.find("a")).isNull();
        assertThat(submit(fixture.newJobService(LIMITED), "a", step(9, 1, 1, GANG)))
                .isInstanceOf(JobService.Answer.Accepted.class);
    }

    /** Guards against a refusal for the limit by a node that cannot know whether the job was accepted elsewhere. */
    @Test
    void aNodeThatCannotReadTheLogDoesNotBlameTheLimit() {
        JobService jobService = fixture.newJobService(LIMITED);
        fixture.log.failure = MemoryLog.Failure.REFUSE;
        assertThat(submit(jobService, "a", step(9, 1, 1, GANG))).isInstanceOf(JobService.Answer.Refused.class);
    }

    /** Guards against a limit that stays in force after operators have raised it. */
    @Test
    void theSameIdIsAcceptedOnceTheLimitIsRaised() {
        assertThat(submit(fixture.newJobService(LIMITED), "a", step(9, 1, 1, GANG)))
                .isInstanceOf(JobService.Answer.OverLimit.class);
        assertThat(submit(fixture.newJobService(Map.of()), "a", step(9, 1, 1, GANG)))
                .isInstanceOf(JobService.Answer.Accepted.class);
    }
}
