package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that nothing of a former incarnation of a target is taken for something of the present one. */
final class RestartedTargetTest {
    private static final long TIMEOUT_SECONDS = 20;

    /** Time after which a lease that counts as expired too soon is noticed, in milliseconds. */
    private static final long EARLY_EXPIRY_MILLIS = 2_000;

    /** How far the clocks of two incarnations are apart, in milliseconds. */
    private static final long CLOCK_DIFFERENCE_MILLIS = 3_600_000;

    private final TaskId task = new TaskId("a", 0, 0, 0);
    private final TargetCommand.Start start = new TargetCommand.Start("t", 1, task, 1, "payload", "");
    private final RestartingTarget target = new RestartingTarget();
    private final Recorder events = new Recorder();
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

    private Thread startInBackground() {
        int sentBefore = target.startsSent;
        Thread thread = Thread.ofVirtual().start(() -> session.start(start));
        Conditions.await(() -> target.startsSent > sentBefore);
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
        assertThat(target.startsSent).isEqualTo(1);
    }

    /** Records the events of the session. */
    private static final class Recorder implements SessionEvents {
        final CountDownLatch leaseExpired = new CountDownLatch(1);
        volatile long incarnation;
        volatile long lastEnd;
        volatile boolean unresponsive;
        volatile TargetReport firstOfIncarnation;

        @Override
        public void reported(TargetReport report) {
            report.ended().forEach(end -> lastEnd = end.number());
            if (incarnation != report.incarnation()) {
                firstOfIncarnation = report;
                incarnation = report.incarnation();
            }
        }

        @Override
        public void started(TargetCommand.Start start) {}

        @Override
        public void notStarted(TargetCommand.Start start, String reason, long exclusionMillis) {}

        @Override
        public void startAbsent(TargetCommand.Start start, Runnable resend) {
            resend.run();
        }

        @Override
        public void unresponsive(String target, long exclusionMillis) {
            unresponsive = true;
        }

        @Override
        public void leaseExpired(String target) {
            leaseExpired.countDown();
        }

        @Override
        public void deposed(String target) {}

        @Override
        public boolean isLeading() {
            return true;
        }
    }
}
