package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.Test;

/** Tests leases, fencing tokens and unanswered commands, against an in-memory target. */
final class TargetSessionTest {
    private static final long TIMEOUT_SECONDS = 20;

    /** Time after which a target that need not be asked for reports is not asked any more, in milliseconds. */
    private static final long IDLE_MILLIS = 500;

    private final TaskId task = new TaskId("a", 0, 0, 0);
    private final TargetCommand.Start start = new TargetCommand.Start("t", 1, task, 1, "payload", "");
    private final FakeTarget target = new FakeTarget();
    private final Recorder events = new Recorder();

    private TargetSession newSession(long earlierLeasesEndNanos) {
        return new TargetSession(
                new TargetCalls.Endpoint("t", "host:1"),
                target,
                events,
                1_000,
                new TargetLease(earlierLeasesEndNanos, false, 6_000));
    }

    private TargetSession newReportedSession() throws InterruptedException {
        TargetSession session = newSession(System.nanoTime() + TimeUnit.HOURS.toNanos(1));
        session.setOccupied(true);
        assertThat(events.reported.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        return session;
    }

    /**
     * Guards against tasks that are never restarted after their target has failed permanently. This happens if each
     * unanswered request for a report extends the lease that may have been granted, so that it never expires.
     */
    @Test
    void theLeaseOfAnUnresponsiveTargetExpires() throws Exception {
        TargetSession session = newReportedSession();
        target.unresponsive.set(true);
        assertThat(events.leaseExpired.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        session.close();
    }

    /**
     * Guards against work that stays bound to a target (LOST) which answers every request for a report with an error,
     * so that neither its reports nor the expiry of its lease end the runs.
     */
    @Test
    void theLeaseOfATargetThatRefusesReportsExpires() throws Exception {
        TargetSession session = newReportedSession();
        target.unhealthy.set(true);
        assertThat(events.leaseExpired.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        session.close();
    }

    /** Guards against work that is placed on a silent target again and again (LOST), as nobody asks for its reports. */
    @Test
    void aSilentTargetIsAskedForReportsUntilItAnswers() throws Exception {
        TargetSession session = newReportedSession();
        target.unresponsive.set(true);
        assertThat(events.unresponsive.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        session.setOccupied(false);
        Clocks.sleep(IDLE_MILLIS);
        long reportsBefore = events.reportCount.get();
        target.unresponsive.set(false);
        Conditions.await(() -> events.reportCount.get() > reportsBefore);
        session.close();
    }

    /**
     * Guards against work that stays bound to a target (LOST) whose reports are ignored, since its incarnation is lower
     * after a restart with its clock set back.
     */
    @Test
    void reportsOfALowerIncarnationCount() throws Exception {
        target.incarnation = 3;
        TargetSession session = newReportedSession();
        target.incarnation = 2;
        Conditions.await(() -> events.lastIncarnation == 2);
        session.close();
    }

    @Test
    void leasesOfAnEarlierLeaderExpireFirst() throws Exception {
        target.unresponsive.set(true);
        ClockReading now = Clocks.now();
        TargetSession session = newSession(now.nanosAfter(300));
        session.setOccupied(true);
        assertThat(events.leaseExpired.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(System.nanoTime()).isGreaterThan(now.nanosAfter(300));
        session.close();
    }

    @Test
    void anUnansweredStartIsResentOnlyWithAHigherFence() throws Exception {
        TargetSession session = newReportedSession();
        target.loseNextStart.set(true);
        session.start(start);
        assertThat(events.started.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(start);
        TargetCalls.StartRequest first = target.starts.take();
        TargetCalls.StartRequest second = target.starts.take();
        assertThat(second.fence()).isGreaterThan(first.fence());
        assertThat(target.lastReportFence).isGreaterThan(first.fence());
        session.close();
    }

    /**
     * Guards against a task that runs twice (TWICE): the answer to its start was lost, it has ended, and the report
     * lists only ends before its own.
     */
    @Test
    void anUnansweredStartIsNotAbsentWhileEndsAreUnlisted() {
        MemoryTarget memory = new MemoryTarget();
        memory.endsAtOnce = true;
        memory.endsPerReport = 1;
        TargetSession session = new TargetSession(
                new TargetCalls.Endpoint("t", "host:1"),
                memory,
                events,
                1_000,
                new TargetLease(System.nanoTime() + TimeUnit.HOURS.toNanos(1), false, 6_000));
        session.setOccupied(true);
        Conditions.await(() -> events.reportCount.get() > 0);
        TargetCommand.Start earlier = new TargetCommand.Start("t", 1, new TaskId("a", 0, 0, 1), 1, "payload", "");
        session.start(earlier);
        memory.startAnswersToLose = 1;
        session.start(start);
        long reportsBefore = events.reportCount.get();
        Conditions.await(() -> events.reportCount.get() > reportsBefore + 2);
        session.acknowledge(1, 1);
        Conditions.await(() -> events.lastEnded == 2);
        assertThat(memory.started).containsExactly(earlier.task(), task).inOrder();
        assertThat(events.notStarted).isEmpty();
        session.close();
    }

    @Test
    void aHigherFenceAtTheTargetDeposesTheLeader() throws Exception {
        TargetSession session = newReportedSession();
        target.fence = Long.MAX_VALUE;
        assertThat(events.deposed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        session.close();
    }

    /** A target that checks fencing tokens on reports and can be made not to answer. */
    private static final class FakeTarget implements TargetCalls {
        final AtomicBoolean unresponsive = new AtomicBoolean();
        final AtomicBoolean unhealthy = new AtomicBoolean();
        final AtomicBoolean loseNextStart = new AtomicBoolean();
        final LinkedBlockingQueue<StartRequest> starts = new LinkedBlockingQueue<>();
        volatile long fence;
        volatile long incarnation = 1;
        volatile long lastReportFence;

        private static long clock() {
            return System.nanoTime() / Clocks.NANOS_PER_MILLI;
        }

        @Override
        public long maxLeaseMillis() {
            return 6_000;
        }

        @Override
        public CommandReply start(Endpoint address, StartRequest request, long timeoutMillis) {
            starts.add(request);
            if (loseNextStart.getAndSet(false)) {
                return new NoAnswer("lost");
            }
            return new Done(clock());
        }

        @Override
        public CommandReply stop(Endpoint address, TaskId id, int run, long token, long timeoutMillis) {
            return new Done(clock());
        }

        @Override
        public ReportReply report(Endpoint address, ReportRequest request, long timeoutMillis) {
            Clocks.sleep(5);
            if (unresponsive.get()) {
                return new NoAnswer("silent");
            }
            if (unhealthy.get()) {
                return new Refused(RefusalReason.UNHEALTHY, OptionalLong.empty());
            }
            if (request.fence() < fence) {
                return new Refused(RefusalReason.FENCE, OptionalLong.of(clock()));
            }
            fence = request.fence();
            lastReportFence = fence;
            return new Reported(
                    clock(),
                    new TargetReport(address.id(), incarnation, System.nanoTime(), List.of(), List.of(), true));
        }
    }

    /** Records the events of a session. */
    private static final class Recorder implements SessionEvents {
        final CountDownLatch reported = new CountDownLatch(1);
        volatile long lastIncarnation;
        volatile long lastEnded;
        final AtomicLong reportCount = new AtomicLong();
        final CountDownLatch unresponsive = new CountDownLatch(1);
        final CountDownLatch leaseExpired = new CountDownLatch(1);
        final CountDownLatch deposed = new CountDownLatch(1);
        final LinkedBlockingQueue<TargetCommand.Start> started = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<TargetCommand.Start> notStarted = new LinkedBlockingQueue<>();

        @Override
        public void reported(TargetReport report) {
            lastIncarnation = report.incarnation();
            report.ended().forEach(end -> lastEnded = end.number());
            reportCount.incrementAndGet();
            reported.countDown();
        }

        @Override
        public void started(TargetCommand.Start start) {
            started.add(start);
        }

        @Override
        public void notStarted(TargetCommand.Start start, String reason, long exclusionMillis) {
            notStarted.add(start);
            throw new AssertionError(reason);
        }

        @Override
        public void startAbsent(TargetCommand.Start start, Runnable resend) {
            resend.run();
        }

        @Override
        public void unresponsive(String target, long exclusionMillis) {
            assertThat(exclusionMillis).isGreaterThan(0);
            unresponsive.countDown();
        }

        @Override
        public void leaseExpired(String target) {
            leaseExpired.countDown();
        }

        @Override
        public void deposed(String target) {
            deposed.countDown();
        }

        @Override
        public boolean isLeading() {
            return true;
        }
    }
}
