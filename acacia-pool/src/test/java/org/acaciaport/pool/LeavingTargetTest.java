package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of work on targets that are taken away at short notice, many at a time. */
final class LeavingTargetTest {
    private static final int GANG_SIZE = 3;

    private final PoolFixture fixture = new PoolFixture();

    @BeforeEach
    void addTargets() {
        for (int i = 0; i < 2 * GANG_SIZE; i++) {
            fixture.addTarget("t" + i, "r1");
        }
    }

    private List<TargetCommand.Start> startGang() {
        fixture.submit(fixture.job("gang", "x", 0, PoolFixture.gang(GANG_SIZE, 8, false)));
        assertThat(fixture.running).hasSize(GANG_SIZE);
        return new ArrayList<>(fixture.running.values());
    }

    /** Guards against a gang that waits for the lease of a target that has left, whose run must have ended. */
    @Test
    void aGangWhoseOtherMembersAreBrokenGoesOnElsewhere() {
        List<TargetCommand.Start> members = startGang();
        fixture.endRun(members.get(0).task(), TargetReport.EndReason.BROKEN);
        assertThat(fixture.startsOf("gang")).hasSize(GANG_SIZE);
        fixture.endRun(members.get(1).task(), TargetReport.EndReason.BROKEN);
        fixture.advance(50);
        assertThat(fixture.startsOf("gang")).hasSize(2 * GANG_SIZE);
    }

    /** Guards against a second run of a task whose target only does not answer: another member ended by itself. */
    @Test
    void aSilentMemberMayStillRunIfAnotherEndedByItself() {
        List<TargetCommand.Start> members = startGang();
        fixture.endRun(members.get(0).task(), TargetReport.EndReason.FAILED);
        fixture.endRun(members.get(1).task(), TargetReport.EndReason.BROKEN);
        fixture.advance(50);
        assertThat(fixture.startsOf("gang")).hasSize(GANG_SIZE);
    }

    /** Guards against a second run of a task whose start was never confirmed, and may still be carried out. */
    @Test
    void anUnconfirmedStartIsNotTakenAsEnded() {
        StepExecution step = new JobExecution(
                        fixture.job("gang", "x", 0, PoolFixture.gang(2, 8, false)), new RunEstimates())
                .occurrence(0)
                .get(0);
        TargetState target = new TargetState("silent", new AccountUsage());
        TaskExecution silent = step.tasks.get(1);
        silent.lastRun = 1;
        target.put(silent, Phase.STARTING);
        step.gangEnds.record(1, TargetReport.EndReason.BROKEN);
        assertThat(step.gangEnds.unreportedEnd(step)).isNull();
        silent.confirmRun(1);
        assertThat(step.gangEnds.unreportedEnd(step)).isEqualTo(silent);
    }

    /** Guards against ends of an earlier run that count for the newest one. */
    @Test
    void endsOfAnEarlierRunDoNotCount() {
        StepExecution step = new JobExecution(
                        fixture.job("gang", "x", 0, PoolFixture.gang(3, 8, false)), new RunEstimates())
                .occurrence(0)
                .get(0);
        TaskExecution last = step.tasks.get(2);
        last.lastRun = 2;
        new TargetState("t", new AccountUsage()).put(last, Phase.RUNNING);
        last.confirmRun(1);
        step.gangEnds.record(1, TargetReport.EndReason.BROKEN);
        step.gangEnds.record(2, TargetReport.EndReason.BROKEN);
        assertThat(step.gangEnds.unreportedEnd(step)).isNull();
    }

    /** Guards against runs that go on until their target leaves, and then wait for its lease before they run again. */
    @Test
    void aRunThatCannotCompleteBeforeTheDepartureIsStoppedAtOnce() {
        List<TargetCommand.Start> members = startGang();
        fixture.drainTarget(members.get(0).target(), "r1", fixture.now().nanosAfter(2_000));
        fixture.advance(50);
        assertThat(fixture.stops).hasSize(1);
        fixture.completeStops();
        fixture.completeStops();
        fixture.advance(50);
        assertThat(fixture.startsOf("gang")).hasSize(2 * GANG_SIZE);
    }

    /** Guards against long work of lower priority that is thrown away although its target may stay for seconds more. */
    @Test
    void aGangOfLowerPriorityStaysOnATargetThatLeaves() {
        fixture.submit(fixture.job("gang", "x", 1, PoolFixture.gang(GANG_SIZE, 8, false)));
        TargetCommand.Start member = fixture.running.values().iterator().next();
        fixture.drainTarget(member.target(), "r1", fixture.now().nanosAfter(2_000));
        fixture.advance(50);
        assertThat(fixture.stops).isEmpty();
    }

    /** Guards against work that is thrown away although its target stays long enough. */
    @Test
    void aRunThatCanCompleteBeforeTheDepartureGoesOn() {
        List<TargetCommand.Start> members = startGang();
        fixture.drainTarget(members.get(0).target(), "r1", fixture.now().nanosAfter(4_500));
        fixture.advance(50);
        assertThat(fixture.stops).isEmpty();
    }
}
