package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.acaciaport.pool.TargetReport.EndReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests ends of runs that are reported after the leader has concluded them. They guard against a task that is started
 * after as many failed runs as it has attempts (BUDGET), since one of these was acknowledged and not counted or was
 * counted twice, and against work that runs again although it is done (TWICE).
 *
 * <p>The gang has two attempts. The target of its first member falls silent, and gets no work meanwhile.
 */
final class LateEndTest {
    private static final int TARGETS = 4;

    /** Time for which the silent target gets no work, in milliseconds. */
    private static final long SILENCE_MILLIS = 60_000;

    private PoolFixture fixture = new PoolFixture();
    private Job gang;
    private TargetCommand.Start first;

    @BeforeEach
    void startGang() {
        for (int i = 0; i < TARGETS; i++) {
            fixture.addTarget("t" + i, "r1");
        }
        gang = fixture.job("gang", "x", 1, PoolFixture.gang(2, 8, false));
        fixture.submit(gang);
        first = fixture.running.get(PoolFixture.taskId("gang", 0));
        assertThat(fixture.running).hasSize(2);
        fixture.pool.exclude(first.target(), SILENCE_MILLIS, fixture.now());
    }

    /** Reports the second member as broken, from which the end of the first one is concluded. */
    private void concludeFirstRun() {
        fixture.endRun(PoolFixture.taskId("gang", 1), EndReason.BROKEN);
    }

    /** Reports how the first run has ended, by the target that was silent. */
    private void reportFirstRun(EndReason reason) {
        fixture.report(first.target(), new TargetReport.Ended(1, first.task(), first.run(), reason, ""));
        fixture.schedulePass();
    }

    /** Ends the newest run of the gang: the first member fails, and breaks the other one. */
    private void failNewestRun() {
        fixture.endRun(PoolFixture.taskId("gang", 0), EndReason.FAILED);
        fixture.endRun(PoolFixture.taskId("gang", 1), EndReason.BROKEN);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
    }

    /** Continues with a leader that knows what is durable; the targets are as they were. */
    private void takeOver() {
        PoolFixture successor = new PoolFixture();
        successor.advance(fixture.now().wallClockMillis() - successor.now().wallClockMillis());
        successor.pool.restore(gang, fixture.persisted.get("gang"), successor.now());
        successor.persisted.putAll(fixture.persisted);
        successor.starts.addAll(fixture.starts);
        successor.running.putAll(fixture.running);
        fixture = successor;
        for (int i = 0; i < TARGETS; i++) {
            String target = "t" + i;
            fixture.registerTarget(target, "r1");
            if (!target.equals(first.target())) {
                fixture.report(target);
            }
        }
        fixture.schedulePass();
    }

    private int runsOfFirstMember() {
        return (int) fixture.startsOf("gang").stream()
                .filter(start -> start.task().index() == 0)
                .count();
    }

    private JobState state() {
        fixture.schedulePass();
        return fixture.persisted.get("gang").state();
    }

    @Test
    void aFailureIsCountedThoughTheEndWasConcludedBefore() {
        concludeFirstRun();
        assertThat(runsOfFirstMember()).isEqualTo(2);
        fixture.running.remove(first.task(), first);
        reportFirstRun(EndReason.FAILED);
        failNewestRun();
        assertThat(state()).isEqualTo(JobState.FAILED);
        assertThat(runsOfFirstMember()).isEqualTo(2);
    }

    @Test
    void aFailureIsCountedThoughALeaderBeforeConcludedTheEnd() {
        concludeFirstRun();
        takeOver();
        reportFirstRun(EndReason.FAILED);
        takeOver();
        failNewestRun();
        assertThat(state()).isEqualTo(JobState.FAILED);
        assertThat(runsOfFirstMember()).isEqualTo(2);
    }

    @Test
    void noRunStartsWhileOneWithoutAReportMayHaveUsedUpTheAttempts() {
        concludeFirstRun();
        takeOver();
        failNewestRun();
        takeOver();
        assertThat(state()).isEqualTo(JobState.RUNNING);
        assertThat(runsOfFirstMember()).isEqualTo(2);
        assertThat(fixture.pool.occupiedTargets()).containsExactly(first.target());
        reportFirstRun(EndReason.FAILED);
        assertThat(state()).isEqualTo(JobState.FAILED);
    }

    /** A report that was taken before the run began lists it nowhere, and shows nothing of its end. */
    @Test
    void aReportFromBeforeTheConclusionSettlesNothing() {
        long requestNanos = fixture.now().monotonicNanos();
        concludeFirstRun();
        failNewestRun();
        TargetReport late = new TargetReport(first.target(), 1, requestNanos, List.of(), List.of(), true);
        fixture.pool.handleReport(late, fixture.now());
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(runsOfFirstMember()).isEqualTo(2);
    }

    @Test
    void theNextRunStartsOnceTheEndIsReportedOtherwise() {
        concludeFirstRun();
        failNewestRun();
        assertThat(runsOfFirstMember()).isEqualTo(2);
        reportFirstRun(EndReason.LAPSED);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(runsOfFirstMember()).isEqualTo(3);
    }

    @Test
    void theNextRunStartsOnceTheLeaseOfTheSilentTargetHasExpired() {
        concludeFirstRun();
        failNewestRun();
        takeOver();
        fixture.pool.handleLeaseExpiry(first.target(), 0, fixture.now());
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(runsOfFirstMember()).isEqualTo(3);
    }

    @Test
    void theNextRunStartsOnceTheSilentTargetHasRestarted() {
        concludeFirstRun();
        failNewestRun();
        takeOver();
        fixture.restartTarget(first.target(), "r1");
        fixture.report(first.target());
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(runsOfFirstMember()).isEqualTo(3);
    }

    /**
     * Guards against one run too many (BUDGET): the start was on its way as the target restarted, so the next
     * incarnation runs what was concluded to have ended.
     */
    @Test
    void theNextRunDoesNotStartWhileARestartedTargetRunsTheConcludedOne() {
        concludeFirstRun();
        failNewestRun();
        fixture.restartTarget(first.target(), "r1");
        fixture.running.put(first.task(), first);
        fixture.report(first.target());
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(runsOfFirstMember()).isEqualTo(2);
        reportFirstRun(EndReason.FAILED);
        assertThat(state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void aFailureThatIsReportedAgainCountsOnce() {
        TaskId member = first.task();
        fixture.endRun(member, EndReason.FAILED);
        TargetReport.Ended same = new TargetReport.Ended(1, member, first.run(), EndReason.FAILED, "");
        fixture.report(first.target(), same);
        takeOver();
        fixture.report(first.target(), same);
        fixture.endRun(PoolFixture.taskId("gang", 1), EndReason.BROKEN);
        fixture.report(first.target(), same);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(state()).isEqualTo(JobState.RUNNING);
        assertThat(runsOfFirstMember()).isEqualTo(2);
    }

    @Test
    void aFailureOfWhichOnlyTheNumberIsKnownCountsOnce() {
        fixture.endRun(first.task(), EndReason.FAILED);
        fixture.endRun(PoolFixture.taskId("gang", 1), EndReason.BROKEN);
        JobProgress.Task known = new JobProgress.Task(0, 0, 0, 1, 1, false, "", 0, "");
        fixture.persisted.put("gang", fixture.persisted.get("gang").withTasks(List.of(known)));
        fixture.running.clear();
        takeOver();
        reportFirstRun(EndReason.FAILED);
        assertThat(state()).isEqualTo(JobState.RUNNING);
        failNewestRun();
        assertThat(state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void workThatIsReportedAsDoneAfterALeaseExpiredIsNotRunToTheEndAgain() {
        fixture.submit(fixture.job("single", "x", 1, PoolFixture.independentTasks(1, 8)));
        TargetCommand.Start lost = fixture.running.remove(PoolFixture.taskId("single", 0));
        fixture.pool.handleLeaseExpiry(lost.target(), 0, fixture.now());
        fixture.schedulePass();
        TargetCommand.Start again = fixture.running.get(lost.task());
        assertThat(again.run()).isGreaterThan(lost.run());
        fixture.report(lost.target(), new TargetReport.Ended(1, lost.task(), lost.run(), EndReason.DONE, ""));
        fixture.schedulePass();
        assertThat(fixture.persisted.get("single").state()).isEqualTo(JobState.DONE);
        assertThat(fixture.stops).contains(new TargetCommand.Stop(again.target(), 1, again.task(), again.run()));
    }
}
