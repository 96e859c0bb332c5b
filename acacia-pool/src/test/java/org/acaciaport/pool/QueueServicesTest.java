package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests where the work of a queue runs whose service the operators have changed. */
final class QueueServicesTest {
    private static final String OTHER = "other";

    /** Time after which the settings are confirmed again, in milliseconds. */
    private static final long CONFIRMED_MILLIS = 1_000;

    private final PoolFixture fixture = new PoolFixture();

    /** Creates a target of each service, of which the first is full. */
    private void addTargets() {
        fixture.addTarget("old", "r1");
        fixture.submit(fixture.job("busy", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.addTargetOf(OTHER, "new");
        fixture.advance(CONFIRMED_MILLIS);
    }

    private void submitWaiting(Step... steps) {
        fixture.submit(fixture.job("a", "x", 1, steps));
        assertThat(fixture.startsOf("a")).isEmpty();
        fixture.advance(CONFIRMED_MILLIS);
    }

    private List<String> targetsOf(String job) {
        return fixture.startsOf(job).stream().map(TargetCommand.Start::target).toList();
    }

    /** Guards against a job that waits for a service to which its queue is not sent any more (LOST). */
    @Test
    void aWaitingJobFollowsItsQueueWhileRunsStay() {
        addTargets();
        submitWaiting(PoolFixture.independentTasks(1, 8));
        fixture.sendQueueTo(OTHER);
        fixture.schedulePass();
        assertThat(targetsOf("a")).containsExactly("new");
        assertThat(fixture.stops).isEmpty();
        assertThat(targetsOf("busy")).containsExactly("old");
    }

    /** Guards against a gang whose members are spread over the former service and the new one. */
    @Test
    void aWaitingGangFollowsItsQueueAsAWhole() {
        addTargets();
        fixture.addTargetOf(OTHER, "new2");
        submitWaiting(PoolFixture.gang(2, 8, true));
        fixture.sendQueueTo(OTHER);
        fixture.schedulePass();
        assertThat(targetsOf("a")).containsExactly("new", "new2");
    }

    /** Guards against further runs of a job on the former service of its queue. */
    @Test
    void theNextAttemptAndTheNextStepFollowTheQueue() {
        addTargets();
        Step second =
                new Step(1, new Resources(1_000, 1_000, 1), 5_000, List.of(0), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.endRun(PoolFixture.taskId("busy", 0), TargetReport.EndReason.DONE);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8), second));
        fixture.advance(CONFIRMED_MILLIS);
        fixture.sendQueueTo(OTHER);
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.FAILED);
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.DONE);
        assertThat(targetsOf("a")).containsExactly("old", "new", "new").inOrder();
    }

    /** Guards against a lasting task that waits for the former service once its target has left (LOST). */
    @Test
    void aLastingTaskFollowsItsQueueOnceItsRunHasEnded() {
        fixture.addTarget("old", "r1");
        fixture.addTargetOf(OTHER, "new");
        Step.Mode lasting = new Step.Mode(false, false, false, true, false, 0);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.step(1, 8, lasting, false)));
        fixture.advance(CONFIRMED_MILLIS);
        fixture.sendQueueTo(OTHER);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(targetsOf("a")).containsExactly("old");
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.STOPPED);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(targetsOf("a")).containsExactly("old", "new").inOrder();
    }

    /** Guards against occurrences that run on the service that their queue had when the first one was due. */
    @Test
    void eachOccurrenceRunsWhereTheQueueIsSentWhenItIsDue() {
        fixture.addTarget("old", "r1");
        fixture.addTargetOf(OTHER, "new");
        Job once = fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 1));
        Job.Schedule schedule = new Job.Schedule(2, once.acceptedMillis(), 2 * CONFIRMED_MILLIS);
        fixture.submit(new Job(
                "a",
                "queue",
                PoolFixture.SERVICE,
                "x",
                once.terms(),
                "",
                once.steps(),
                schedule,
                schedule.firstMillis()));
        fixture.advance(CONFIRMED_MILLIS);
        fixture.sendQueueTo(OTHER);
        fixture.advance(CONFIRMED_MILLIS);
        assertThat(targetsOf("a")).containsExactly("old", "new").inOrder();
    }

    /** Guards against a reservation that holds a job back, and room from others, on the former service. */
    @Test
    void aReservationOnTheFormerServiceIsGivenUp() {
        addTargets();
        fixture.submit(fixture.job("urgent", "x", 0, PoolFixture.gang(1, 8, false)));
        fixture.advance(CONFIRMED_MILLIS);
        assertThat(fixture.stops).isNotEmpty();
        assertThat(fixture.startsOf("urgent")).isEmpty();
        fixture.sendQueueTo(OTHER);
        fixture.schedulePass();
        assertThat(targetsOf("urgent")).containsExactly("new");
    }

    /** Guards against a start on the former service that was decided before the change and is sent after it. */
    @Test
    void aStartThatHasNotBeenSentIsNotWantedAfterTheChange() {
        fixture.addTarget("old", "r1");
        fixture.pool.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)), fixture.now());
        fixture.pool.schedule(fixture.now());
        TargetCommand.Start start = fixture.pool.takeBatch().starts().getFirst();
        assertThat(fixture.pool.isWanted(start)).isTrue();
        fixture.sendQueueTo(OTHER);
        assertThat(fixture.pool.isWanted(start)).isFalse();
    }

    /** Guards against a start by settings that are older than those under which the job was accepted (CONFIG). */
    @Test
    void aJobThatWasAcceptedUnderNewerSettingsWaitsForThem() {
        fixture.addTarget("old", "r1");
        fixture.addTargetOf(OTHER, "new");
        fixture.sendQueueTo(PoolFixture.SERVICE);
        fixture.advance(1);
        Job job = fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)).withService(OTHER);
        fixture.submit(job);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("a")).isEmpty();
        assertThat(fixture.pool.awaitsSettings()).isTrue();
        fixture.sendQueueTo(OTHER);
        fixture.schedulePass();
        assertThat(targetsOf("a")).containsExactly("new");
    }

    /** Guards against a job that a node with old settings accepted, and that stays with the service of these. */
    @Test
    void aJobThatWasAcceptedUnderOlderSettingsFollowsTheNewestOnes() {
        fixture.addTarget("old", "r1");
        fixture.addTargetOf(OTHER, "new");
        fixture.sendQueueTo(OTHER);
        fixture.advance(1);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.startsOf("a")).isEmpty();
        fixture.pool.confirmSettings(fixture.now());
        fixture.schedulePass();
        assertThat(targetsOf("a")).containsExactly("new");
    }

    /** Guards against a job that stays with a service that its queue has left again. */
    @Test
    void aJobFollowsItsQueueThereAndBack() {
        addTargets();
        submitWaiting(PoolFixture.independentTasks(1, 8));
        fixture.sendQueueTo("third");
        fixture.schedulePass();
        assertThat(fixture.pool.takeMovedJobs()).containsExactly("busy", "third", "a", "third");
        fixture.sendQueueTo(PoolFixture.SERVICE);
        assertThat(fixture.pool.takeMovedJobs()).containsExactly("busy", PoolFixture.SERVICE, "a", PoolFixture.SERVICE);
        fixture.endRun(PoolFixture.taskId("busy", 0), TargetReport.EndReason.DONE);
        assertThat(targetsOf("a")).containsExactly("old");
    }

    /** Guards against a job that goes back to the service of its acceptance when its queue is dropped, or stops. */
    @Test
    void aJobOfADroppedQueueStaysWithTheLastService() {
        addTargets();
        submitWaiting(PoolFixture.independentTasks(2, 8));
        fixture.sendQueueTo(OTHER);
        fixture.schedulePass();
        fixture.pool.configure(new PoolSettings(Map.of(), Set.of(), Map.of()));
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.DONE);
        assertThat(targetsOf("a")).containsExactly("new", "new");
    }

    /** Guards against refusals for a service that does not get the waiting work any more. */
    @Test
    void theOutlookCountsWaitingWorkAtTheServiceThatWillRunIt() {
        addTargets();
        submitWaiting(PoolFixture.independentTasks(40, 8));
        assertThat(waitingServices()).containsExactly(PoolFixture.SERVICE);
        fixture.addTargetOf("third", "small");
        fixture.sendQueueTo("third");
        assertThat(waitingServices()).containsExactly("third");
    }

    private List<String> waitingServices() {
        return fixture.pool.outlook(fixture.now()).services().stream()
                .map(service -> service.name())
                .toList();
    }

    /** Guards against runs that lose their place on the former service to work that runs elsewhere now. */
    @Test
    void workOfAMovedQueueMakesRoomOnItsNewServiceOnly() {
        addTargets();
        fixture.sendQueueTo(OTHER);
        fixture.submit(fixture.job("deferrable", "x", 1, PoolFixture.independentTasks(1, 8))
                .withService(OTHER));
        fixture.submit(
                fixture.job("urgent", "x", 0, PoolFixture.gang(1, 8, false)).withService(OTHER));
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        List<TaskId> stopped =
                fixture.stops.stream().map(TargetCommand.Stop::task).distinct().toList();
        assertThat(stopped).containsExactly(PoolFixture.taskId("deferrable", 0));
    }
}
