package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that nothing of a former incarnation of a target is taken for something of the present one. */
final class RestartedTargetTest {
    private static final long TIMEOUT_SECONDS = 20;

    /** Time after which a lease that counts as expired too soon is noticed, in milliseconds. */
    private static final long EARLY_EXPIRY_MILLIS = 2_000;

    /** Time without a request for a report after which the target is not polled, in milliseconds. */
    private static final long QUIET_MILLIS = 100;

    /** How far the clocks of two incarnations are apart, in milliseconds. */
    private static final long CLOCK_DIFFERENCE_MILLIS = 3_600_000;

    private final TaskId task = new TaskId("a", 0, 0, 0);
    private final TargetCommand.Start start = new TargetCommand.Start("t", 1, task, 1, "payload", "");
    private final RestartingTarget target = new RestartingTarget();
    private final SessionRecorder events = new SessionRecorder();
    private TargetSession session;

    @BeforeEach
    void openSession() {
        session = new TargetSession(
                new TargetCalls.Endpoint("t", "host:1"),
                target,
                events,
                1_000,
                new TargetLease(System.nanoTime() + TimeUnit.HOURS.toNanos(1), false, 6_000));
        session.setOccupied(true);
        Conditions.await(() -> events.incarnation == 1);
    }

    @AfterEach
    void closeSession() {
        session.close();
    }

    /** Lets the session take the target for one without runs, and waits until the poll in progress has ended. */
    private void stopPolling() {
        session.setOccupied(false);
        Conditions.await(() -> {
            int before = target.reports.get();
            return Clocks.sleep(QUIET_MILLIS) && target.reports.get() == before;
        });
    }

    /** Returns how many requests there may have been for starts: one, and one for each time that it was too old. */
    private static int requestsSince(long startNanos) {
        long millis = (System.nanoTime() - startNanos) / Clocks.NANOS_PER_MILLI;
        return 1 + (int) (millis / IncarnationCheck.MAX_REQUEST_AGE_MILLIS);
    }

    private Thread startInBackground() {
        int sentBefore = target.startsSent.get();
        Thread thread = Thread.ofVirtual().start(() -> session.start(start));
        Conditions.await(() -> target.startsSent.get() > sentBefore);
        return thread;
    }

    /**
     * Guards against two runs of a task at a time (TWICE): a start that was on its way as its target restarted is
     * carried out after a report has shown the run as lost with the former incarnation.
     */
    @Test
    void aStartForAFormerIncarnationIsNotCarriedOutOnceItsRunIsLost() throws Exception {
        target.startsOnTheirWay = new CountDownLatch(1);
        Thread starting = startInBackground();
        target.restart(0);
        Conditions.await(() -> events.incarnation == 2);
        target.startsOnTheirWay.countDown();
        starting.join();
        assertThat(target.isRunning(task)).isFalse();
    }

    /** Guards against the same if the registration tells of the restart while a report is on its way. */
    @Test
    void aReportFromBeforeTheAnnouncementOfARestartConfirmsNothing() throws Exception {
        target.startsOnTheirWay = new CountDownLatch(1);
        Thread starting = startInBackground();
        CountDownLatch reports = new CountDownLatch(1);
        target.reportsOnTheirWay = reports;
        Conditions.await(() -> target.reportsHeldBack == 1);
        target.restart(0);
        session.announceIncarnation(2);
        target.reportsOnTheirWay = null;
        reports.countDown();
        Conditions.await(() -> events.incarnation == 2);
        target.startsOnTheirWay.countDown();
        starting.join();
        assertThat(target.isRunning(task)).isFalse();
    }

    /** Guards against a run that is lost unseen: a start that an unknown incarnation carries out is reported. */
    @Test
    void aRunThatTheNextIncarnationHasStartedIsReported() throws Exception {
        target.startsOnTheirWay = new CountDownLatch(1);
        Thread starting = startInBackground();
        target.silent = true;
        Conditions.await(() -> events.unresponsive);
        target.restart(0);
        target.startsOnTheirWay.countDown();
        starting.join();
        assertThat(target.isRunning(task)).isTrue();
        target.silent = false;
        Conditions.await(() -> events.incarnation == 2);
        assertThat(events.firstOfIncarnation.running()).hasSize(1);
    }

    /**
     * Guards against two runs of a task at a time (TWICE): an answer of the former incarnation, whose clock was ahead,
     * makes the leases of the present one count as expired.
     */
    @Test
    void theClockOfAFormerIncarnationExpiresNoLease() throws Exception {
        target.restart(CLOCK_DIFFERENCE_MILLIS);
        Conditions.await(() -> events.incarnation == 2);
        target.answersOnTheirWay = new CountDownLatch(1);
        Thread starting =
                Thread.ofVirtual().start(() -> session.start(new TargetCommand.Start("t", 2, task, 1, "payload", "")));
        Conditions.await(() -> target.isRunning(task));
        target.restart(0);
        Conditions.await(() -> events.incarnation == 3);
        target.answersOnTheirWay.countDown();
        starting.join();
        target.silent = true;
        assertThat(events.leaseExpired.await(EARLY_EXPIRY_MILLIS, TimeUnit.MILLISECONDS))
                .isFalse();
        assertThat(events.leaseExpired.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against ends that are acknowledged uncounted, as the former incarnation had reported as many. */
    @Test
    void acknowledgementsOfAFormerIncarnationAreNotSentToTheNextOne() throws Exception {
        session.start(start);
        target.complete(task);
        Conditions.await(() -> events.lastEnd == 1);
        session.acknowledge(1, 1);
        target.silent = true;
        Conditions.await(() -> events.unresponsive);
        target.restart(0);
        target.silent = false;
        Conditions.await(() -> events.incarnation == 2);
        assertThat(target.firstAcknowledged).isEqualTo(0);
    }

    /** Guards against a start that is refused as late over and over, as the clock of another incarnation is ahead. */
    @Test
    void aStartThatIsRefusedAsLateWaitsForAReport() throws Exception {
        target.startsOnTheirWay = new CountDownLatch(1);
        Thread starting = startInBackground();
        target.restart(CLOCK_DIFFERENCE_MILLIS);
        target.reportsOnTheirWay = new CountDownLatch(1);
        target.startsOnTheirWay.countDown();
        starting.join();
        target.reportsOnTheirWay.countDown();
        Conditions.await(() -> events.incarnation == 2);
        assertThat(target.isRunning(task)).isFalse();
        assertThat(target.startsSent.get()).isEqualTo(1);
    }

    /** Guards against a task on a target of another kind (ROUTE): one without runs restarts unseen before a start. */
    @Test
    void aStartIsNotSentToAnIncarnationThatItWasNotDecidedFor() {
        stopPolling();
        target.restart(0);
        session.start(start);
        assertThat(target.startsSent.get()).isEqualTo(0);
        assertThat(events.notStarted).containsExactly(start);
        Conditions.await(() -> events.incarnation == 2);
    }

    /** Guards against a task on a target of another kind (ROUTE), as the target answered long before the start. */
    @Test
    void whatATargetAnsweredLongBeforeAStartDoesNotCount() {
        stopPolling();
        session.prepareStart();
        Clocks.sleep(QUIET_MILLIS);
        target.restart(0);
        session.start(start);
        assertThat(target.startsSent.get()).isEqualTo(0);
        assertThat(events.notStarted).containsExactly(start);
    }

    /** Guards against a task on a target of another kind (ROUTE), as the leader stood still after the answer. */
    @Test
    void anAnswerThatIsReadLateDoesNotCount() throws Exception {
        stopPolling();
        target.reportsOnTheirWay = new CountDownLatch(1);
        Thread starting = Thread.ofVirtual().start(() -> session.start(start));
        Clocks.sleep(IncarnationCheck.MAX_ANSWER_AGE_MILLIS + 1);
        target.reportsOnTheirWay.countDown();
        starting.join();
        assertThat(target.startsSent.get()).isEqualTo(0);
        assertThat(events.notStarted).containsExactly(start);
    }

    /** Guards against a start that waits for its target twice: it is asked while the record is written. */
    @Test
    void aPreparedStartAsksNothingMore() {
        stopPolling();
        int before = target.reports.get();
        long startNanos = System.nanoTime();
        session.prepareStart();
        session.start(start);
        assertThat(target.isRunning(task)).isTrue();
        assertThat(target.reports.get() - before).isAtMost(requestsSince(startNanos));
    }

    /** Guards against a task on a target of another kind (ROUTE), as it restarts while it answers nothing. */
    @Test
    void aStartIsNotSentToATargetThatDoesNotTellItsIncarnation() {
        stopPolling();
        target.silent = true;
        session.start(start);
        assertThat(events.notStarted).containsExactly(start);
        assertThat(events.unresponsive).isTrue();
        target.restart(0);
        target.silent = false;
        Conditions.await(() -> events.incarnation == 2);
        assertThat(target.startsSent.get()).isEqualTo(0);
    }

    /** Guards against a request more for each start: those that are sent at the same time share one. */
    @Test
    void startsThatAreSentAtTheSameTimeShareARequest() throws Exception {
        stopPolling();
        int before = target.reports.get();
        long startNanos = System.nanoTime();
        target.reportsOnTheirWay = new CountDownLatch(1);
        List<Thread> starting = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            TargetCommand.Start each = new TargetCommand.Start("t", 1, new TaskId("a", 0, 0, i), 1, "payload", "");
            starting.add(Thread.ofVirtual().start(() -> session.start(each)));
        }
        Conditions.await(() -> starting.stream().allMatch(each -> each.getState() == Thread.State.TIMED_WAITING));
        target.reportsOnTheirWay.countDown();
        for (Thread each : starting) {
            each.join();
        }
        assertThat(target.startsSent.get()).isEqualTo(100);
        assertThat(target.reports.get() - before).isAtMost(requestsSince(startNanos));
    }
}
