package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of placement, completion and recovery of jobs. */
final class PoolTest {
    private final PoolFixture fixture = new PoolFixture();

    private JobState stateOf(String job) {
        return fixture.persisted.get(job).state();
    }

    @Test
    void aStartIsReleasedOnlyWithItsRecord() {
        fixture.addTarget("t1", "r1");
        fixture.pool.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 1)), fixture.now());
        fixture.pool.schedule(fixture.now());
        Batch batch = fixture.pool.takeBatch();
        assertThat(batch.starts()).hasSize(1);
        JobProgress.Task task = batch.records().get(0).tasks().get(0);
        assertThat(task.target()).isEqualTo("t1");
        assertThat(task.lastRun()).isEqualTo(batch.starts().get(0).run());
    }

    @Test
    void aJobIsDoneOnceEveryTaskOfEveryStepIsDone() {
        fixture.addTarget("t1", "r1");
        Step second = new Step(1, new Resources(1, 1, 1), 10, List.of(0), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(2, 1), second));
        assertThat(fixture.starts).hasSize(2);
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.DONE);
        assertThat(fixture.starts).hasSize(2);
        fixture.endRun(PoolFixture.taskId("a", 1), TargetReport.EndReason.DONE);
        assertThat(fixture.starts).hasSize(3);
        assertThat(stateOf("a")).isEqualTo(JobState.RUNNING);
        fixture.endRun(new TaskId("a", 0, 1, 0), TargetReport.EndReason.DONE);
        assertThat(stateOf("a")).isEqualTo(JobState.DONE);
    }

    @Test
    void aGangStartsWholeOrNotAtAll() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, false)));
        assertThat(fixture.starts).isEmpty();
        fixture.addTarget("t2", "r2");
        fixture.schedulePass();
        assertThat(fixture.starts).hasSize(2);
        assertThat(fixture.starts.get(0).run()).isEqualTo(fixture.starts.get(1).run());
    }

    @Test
    void aTightGangRunsOnOneRack() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r2");
        fixture.addTarget("t3", "r2");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, true)));
        Set<String> targets = new HashSet<>();
        fixture.starts.forEach(start -> targets.add(start.target()));
        assertThat(targets).containsExactly("t2", "t3");
    }

    /**
     * Guards against small but long tasks that are spread over all racks, which leave no rack to a tight gang without
     * preemption.
     */
    @Test
    void smallTasksFillOneRackBeforeUsingAnother() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r2");
        fixture.addTarget("t3", "r1");
        fixture.addTarget("t4", "r2");
        fixture.submit(fixture.job("small", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("more", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("large", "x", 0, PoolFixture.gang(2, 8, true)));
        assertThat(fixture.stops).isEmpty();
        assertThat(fixture.starts).hasSize(4);
    }

    @Test
    void successOfOneMemberCompletesTheGang() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, false)));
        fixture.endRun(PoolFixture.taskId("a", 1), TargetReport.EndReason.DONE);
        assertThat(stateOf("a")).isEqualTo(JobState.DONE);
    }

    @Test
    void aFailureOfOneGangMemberStopsTheOthersAndCountsOnce() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.addTarget("t3", "r1");
        fixture.addTarget("t4", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, false)));
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.FAILED);
        assertThat(fixture.stops).hasSize(1);
        fixture.endRun(PoolFixture.taskId("a", 1), TargetReport.EndReason.FAILED);
        assertThat(stateOf("a")).isNotEqualTo(JobState.FAILED);
        assertThat(fixture.starts).hasSize(4);
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.FAILED);
        assertThat(stateOf("a")).isEqualTo(JobState.FAILED);
    }

    @Test
    void runsOfARestartedTargetAreRequeued() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.restartTarget("t1", "r1");
        fixture.schedulePass();
        assertThat(fixture.starts).hasSize(1);
        fixture.report("t1");
        fixture.schedulePass();
        assertThat(fixture.starts).hasSize(2);
        assertThat(fixture.starts.get(1).run()).isEqualTo(2);
    }

    @Test
    void tasksOfAnUnregisteredTargetMoveOnlyAfterLeaseExpiry() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        fixture.pool.exclude("t1", 1_000, fixture.now());
        fixture.pool.unregister("t1");
        fixture.advance(5_000);
        assertThat(fixture.starts).hasSize(1);
        fixture.pool.handleLeaseExpiry("t1", 0, fixture.now());
        fixture.schedulePass();
        assertThat(fixture.starts).hasSize(2);
        assertThat(fixture.starts.get(1).target()).isEqualTo("t2");
    }

    @Test
    void aRestoredRunIsKeptIfItsTargetStillReportsIt() {
        fixture.addTarget("t1", "r1");
        Job job = fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8));
        fixture.submit(job);
        PoolFixture successor = new PoolFixture();
        successor.running.putAll(fixture.running);
        successor.pool.restore(job, fixture.persisted.get("a"), successor.now());
        successor.addTarget("t1", "r1");
        successor.schedulePass();
        assertThat(successor.starts).isEmpty();
        successor.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.DONE);
        assertThat(successor.persisted.get("a").state()).isEqualTo(JobState.DONE);
    }

    @Test
    void aRestoredRunUnknownToItsTargetRestartsWithAHigherRunNumber() {
        fixture.addTarget("t1", "r1");
        Job job = fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8));
        fixture.submit(job);
        PoolFixture successor = new PoolFixture();
        successor.pool.restore(job, fixture.persisted.get("a"), successor.now());
        successor.addTarget("t1", "r1");
        successor.schedulePass();
        assertThat(successor.starts).hasSize(1);
        assertThat(successor.starts.get(0).run()).isEqualTo(2);
    }

    /**
     * Guards against a term that cannot begin, and against starting tasks that the job does not have, when the progress
     * in the log does not match the job.
     */
    @Test
    void progressOfTasksThatTheJobDoesNotHaveIsIgnored() {
        Job job = fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8));
        List<JobProgress.Task> tasks = List.of(
                new JobProgress.Task(1, 0, 0, 1, 0, false, "t1", 1, ""),
                new JobProgress.Task(0, 1, 0, 1, 0, false, "t1", 1, ""),
                new JobProgress.Task(0, 0, 1, 1, 0, false, "", 0, ""),
                new JobProgress.Task(0, 0, 0, 1, 0, false, "", 0, ""));
        fixture.pool.restore(job, new JobProgress("a", JobState.RUNNING, 0, List.of(), tasks), fixture.now());
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.schedulePass();
        assertThat(fixture.running.keySet()).containsExactly(PoolFixture.taskId("a", 0));
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.DONE);
        assertThat(stateOf("a")).isEqualTo(JobState.DONE);
    }

    @Test
    void aStrayRunIsStopped() {
        fixture.addTarget("t1", "r1");
        fixture.running.put(
                PoolFixture.taskId("a", 0),
                new TargetCommand.Start("t1", 1, PoolFixture.taskId("a", 0), 7, "payload", ""));
        fixture.report("t1");
        fixture.schedulePass();
        assertThat(fixture.stops).containsExactly(new TargetCommand.Stop("t1", 1, PoolFixture.taskId("a", 0), 7));
    }

    /**
     * Guards against a run of a cancelled job that goes on because its stop could not be sent. A new leader has seen no
     * registration of the target yet, and the target reports a newer incarnation than the record of the run has.
     */
    @Test
    void aStopThatCouldNotBeSentIsIssuedAgainAfterAReport() {
        fixture.addTarget("t1", "r1");
        Job job = fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8));
        fixture.submit(job);
        TargetCommand.Start start = fixture.starts.get(0);
        PoolFixture successor = new PoolFixture();
        successor.pool.restore(job, fixture.persisted.get("a"), successor.now());
        successor.pool.cancel("a", successor.now());
        assertThat(successor.pool.takeStops()).hasSize(1);
        successor.advance(301);
        TargetReport.Running run = new TargetReport.Running(start.task(), start.run(), "", 0);
        successor.pool.handleReport(
                new TargetReport("t1", 2, successor.now().monotonicNanos(), List.of(run), List.of(), true),
                successor.now());
        successor.schedulePass();
        assertThat(successor.stops).containsExactly(new TargetCommand.Stop("t1", 2, start.task(), start.run()));
    }

    /** Guards against sending a start whose task was cancelled or moved while the record of the start was pending. */
    @Test
    void aStartIsNotWantedAfterItsJobWasCancelledOrItsTaskRequeued() {
        fixture.addTarget("t1", "r1");
        fixture.pool.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(2, 4)), fixture.now());
        fixture.pool.schedule(fixture.now());
        List<TargetCommand.Start> starts = fixture.pool.takeBatch().starts();
        assertThat(starts).hasSize(2);
        assertThat(fixture.pool.isWanted(starts.get(0))).isTrue();
        fixture.pool.handleLeaseExpiry("t1", 0, fixture.now());
        assertThat(fixture.pool.isWanted(starts.get(0))).isFalse();
        fixture.pool.schedule(fixture.now());
        List<TargetCommand.Start> again = fixture.pool.takeBatch().starts();
        fixture.pool.cancel("a", fixture.now());
        assertThat(fixture.pool.isWanted(again.get(0))).isFalse();
    }

    @Test
    void aCancelledJobStopsAndStartsNothing() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(2, 5)));
        assertThat(fixture.starts).hasSize(1);
        fixture.pool.cancel("a", fixture.now());
        fixture.schedulePass();
        fixture.completeStops();
        assertThat(stateOf("a")).isEqualTo(JobState.CANCELLED);
        assertThat(fixture.starts).hasSize(1);
    }

    /**
     * Guards against spreading a tight gang over racks, where it takes several times as long, although one rack has
     * room. It happened to a claim that had exceeded its locality wait before it was moved off a slow target.
     */
    @Test
    void aGangThatWaitedLongStillPrefersOneRack() {
        fixture.setGuarantee("owner", 32);
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r2");
        fixture.submit(fixture.job("first", "owner", 0, PoolFixture.independentTasks(1, 4)));
        fixture.submit(fixture.job("second", "owner", 0, PoolFixture.independentTasks(1, 5)));
        fixture.submit(fixture.job("gang", "owner", 0, PoolFixture.gang(2, 4, true)));
        fixture.advance(2_000);
        assertThat(fixture.starts).hasSize(2);
        fixture.addTarget("t3", "r3");
        fixture.schedulePass();
        assertThat(fixture.starts).hasSize(4);
        assertThat(fixture.starts.get(2).target()).isEqualTo("t3");
        assertThat(fixture.starts.get(3).target()).isEqualTo("t3");
    }
}
