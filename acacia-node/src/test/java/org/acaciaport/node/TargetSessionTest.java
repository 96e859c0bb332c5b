package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.Test;

/** Leases, fences and orders without an answer, against a target in memory. */
final class TargetSessionTest {
    private static final long PATIENCE_SECONDS = 20;

    private final TaskId task = new TaskId("a", 0, 0, 0);
    private final TargetCommand.Start order = new TargetCommand.Start("t", 1, task, 1, "payload", "");
    private final FakeTarget target = new FakeTarget();
    private final Recorder events = new Recorder();

    private TargetSession session(long inheritedNanos) {
        return new TargetSession(new TargetCalls.Endpoint("t", "host:1"), target, events, 1_000, inheritedNanos);
    }

    private TargetSession verified() throws InterruptedException {
        TargetSession session = session(System.nanoTime() + TimeUnit.HOURS.toNanos(1));
        session.need(true);
        assertThat(events.reported.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        return session;
    }

    /**
     * Pattern: a target is gone for good while work is on it. Each unanswered report used to ask for a longer lease, so
     * that the lease never ended and the work never ran again.
     */
    @Test
    void aTargetThatFallsSilentLapsesInTheEnd() throws Exception {
        TargetSession session = verified();
        target.silent.set(true);
        assertThat(events.lapsed.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        session.close();
    }

    @Test
    void leasesOfAnEarlierLeaderAreWaitedOut() throws Exception {
        target.silent.set(true);
        ClockReading now = Clocks.now();
        TargetSession session = session(now.nanosAfter(300));
        session.need(true);
        assertThat(events.lapsed.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(System.nanoTime()).isGreaterThan(now.nanosAfter(300));
        session.close();
    }

    @Test
    void aStartWithoutAnswerIsSentAgainOnlyUnderAHigherFence() throws Exception {
        TargetSession session = verified();
        target.loseNextStart.set(true);
        session.start(order);
        assertThat(events.started.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo(order);
        TargetCalls.StartRequest first = target.starts.take();
        TargetCalls.StartRequest second = target.starts.take();
        assertThat(second.fence()).isGreaterThan(first.fence());
        assertThat(target.fenceSeenBetween).isGreaterThan(first.fence());
        session.close();
    }

    @Test
    void aHigherFenceAtTheTargetDeposesTheLeader() throws Exception {
        TargetSession session = verified();
        target.fence = Long.MAX_VALUE;
        assertThat(events.deposed.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        session.close();
    }

    /** A target that keeps its fence and answers reports, or does not. */
    private static final class FakeTarget implements TargetCalls {
        final AtomicBoolean silent = new AtomicBoolean();
        final AtomicBoolean loseNextStart = new AtomicBoolean();
        final LinkedBlockingQueue<StartRequest> starts = new LinkedBlockingQueue<>();
        volatile long fence;
        volatile long fenceSeenBetween;

        private static long clock() {
            return System.nanoTime() / Clocks.NANOS_PER_MILLI;
        }

        @Override
        public OrderReply start(Endpoint address, StartRequest call, long millis) {
            starts.add(call);
            if (loseNextStart.getAndSet(false)) {
                return new NoAnswer("lost");
            }
            return new Done(clock());
        }

        @Override
        public OrderReply stop(Endpoint address, TaskId id, int run, long token, long millis) {
            return new Done(clock());
        }

        @Override
        public ReportReply report(Endpoint address, ReportRequest call, long millis) {
            Clocks.sleep(5);
            if (silent.get()) {
                return new NoAnswer("silent");
            }
            if (call.fence() < fence) {
                return new Refused(RefusalReason.FENCE, OptionalLong.of(clock()));
            }
            fence = call.fence();
            fenceSeenBetween = fence;
            return new Reported(clock(), new TargetReport(address.id(), 1, System.nanoTime(), List.of(), List.of()));
        }
    }

    /** Keeps what the session tells. */
    private static final class Recorder implements TargetSession.Events {
        final CountDownLatch reported = new CountDownLatch(1);
        final CountDownLatch lapsed = new CountDownLatch(1);
        final CountDownLatch deposed = new CountDownLatch(1);
        final LinkedBlockingQueue<TargetCommand.Start> started = new LinkedBlockingQueue<>();

        @Override
        public void reported(TargetReport report) {
            reported.countDown();
        }

        @Override
        public void started(TargetCommand.Start start) {
            started.add(start);
        }

        @Override
        public void notStarted(TargetCommand.Start start, String reason, long avoidMillis) {
            throw new AssertionError(reason);
        }

        @Override
        public void silent(String target, long avoidMillis) {
            assertThat(avoidMillis).isGreaterThan(0);
        }

        @Override
        public void lapsed(String target) {
            lapsed.countDown();
        }

        @Override
        public void deposed(String target) {
            deposed.countDown();
        }

        @Override
        public boolean leads() {
            return true;
        }
    }
}
