package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a session whose calls to its target, or whose events, end in an unchecked exception. */
final class TargetCallFailureTest {
    private static final long TIMEOUT_SECONDS = 20;
    /** Least time between two calls that throw, in milliseconds. */
    private static final long MIN_PAUSE_MILLIS = 40;

    private static final String BAD_ADDRESS = "a b:5";

    private final TaskId task = new TaskId("a", 0, 0, 0);
    private final TargetCommand.Start start = new TargetCommand.Start("t", 1, task, 1, "payload", "");
    private final MemoryTarget target = new MemoryTarget();
    private final ThrowingCalls calls = new ThrowingCalls(target);
    private final Recorder events = new Recorder();
    private TargetSession session;

    @AfterEach
    void close() {
        session.close();
    }

    private void open(String address) {
        session = new TargetSession(
                new TargetCalls.Endpoint("t", address),
                calls,
                events,
                1_000,
                new TargetLease(Clocks.deadlineAfter(3_600_000), false, 6_000));
        session.setOccupied(true);
    }

    private static <T> T take(LinkedBlockingQueue<T> queue) throws InterruptedException {
        T taken = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(taken).isNotNull();
        return taken;
    }

    /** Guards against a target that is never asked again, although it registers with another address. */
    @Test
    void aTargetWhoseAddressCannotBeCalledIsAskedAtItsNextAddress() throws Exception {
        open(BAD_ADDRESS);
        assertThat(take(events.unresponsive)).isEqualTo("t");
        session.setEndpoint(new TargetCalls.Endpoint("t", "host:1"));
        session.announceIncarnation(1);
        take(events.reported);
        take(events.reported);
        session.start(start);
        assertThat(take(events.started)).isEqualTo(start);
    }

    /** Guards against calls without a pause to a target whose address cannot be called. */
    @Test
    void callsThatThrowAreMadeWithAPause() throws Exception {
        open(BAD_ADDRESS);
        take(events.unresponsive);
        long startNanos = System.nanoTime();
        int before = calls.failed.get();
        Clocks.sleep(400);
        int failed = calls.failed.get() - before;
        assertThat(failed).isAtMost(1 + (int) (-Clocks.millisUntil(startNanos) / MIN_PAUSE_MILLIS));
    }

    /** Guards against a start that is neither confirmed nor failed, so that its task waits for ever. */
    @Test
    void aStartThatThrowsIsSentAgainOnceAReportShowsNoRun() throws Exception {
        open("host:1");
        take(events.reported);
        calls.startsToThrowBefore.set(1);
        session.start(start);
        assertThat(take(events.started)).isEqualTo(start);
        assertThat(target.started).containsExactly(task);
        assertThat(calls.startFences).hasSize(2);
        assertThat(calls.startFences.poll()).isLessThan(calls.startFences.poll());
    }

    /** Guards against a second run of a task whose start took effect although its call threw. */
    @Test
    void aStartThatTookEffectAndThrowsIsFoundInAReport() throws Exception {
        open("host:1");
        take(events.reported);
        calls.startsToThrowAfter.set(1);
        session.start(start);
        assertThat(take(events.started)).isEqualTo(start);
        assertThat(target.started).containsExactly(task);
        assertThat(calls.startFences).hasSize(1);
    }

    /** Guards against a stop that is never sent again. */
    @Test
    void aStopThatThrowsIsSentAgain() throws Exception {
        open("host:1");
        take(events.reported);
        session.start(start);
        take(events.started);
        calls.stopsToThrow.set(2);
        session.stop(new TargetCommand.Stop("t", 1, task, 1));
        long deadline = Clocks.deadlineAfter(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        while (target.isRunning(task) && Clocks.millisUntil(deadline) > 0) {
            Clocks.sleep(1);
        }
        assertThat(target.stops).containsExactly(task);
    }

    /** Guards against a session that ends with the first report that its owner cannot take. */
    @Test
    void aReportThatCannotBePassedOnDoesNotEndTheSession() throws Exception {
        events.reportsToThrow.set(1);
        try (LogCapture capture = LogCapture.of(BackgroundTasks.class)) {
            open("host:1");
            take(events.reported);
            assertThat(capture.messagesContaining("background: task=target-t outcome=failed"))
                    .hasSize(1);
        }
    }

    /** Passes calls on, or throws as a client does that is given an address that is none. */
    private static final class ThrowingCalls implements TargetCalls {
        final AtomicInteger startsToThrowBefore = new AtomicInteger();
        final AtomicInteger startsToThrowAfter = new AtomicInteger();
        final AtomicInteger stopsToThrow = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        final LinkedBlockingQueue<Long> startFences = new LinkedBlockingQueue<>();
        private final TargetCalls calls;

        ThrowingCalls(TargetCalls calls) {
            this.calls = calls;
        }

        private static boolean take(AtomicInteger count) {
            return count.getAndUpdate(value -> Math.max(0, value - 1)) > 0;
        }

        private void check(Endpoint address, boolean fails) {
            if (fails || address.address().equals(BAD_ADDRESS)) {
                failed.incrementAndGet();
                throw new IllegalArgumentException("unsupported URI " + address.address());
            }
        }

        @Override
        public long maxLeaseMillis() {
            return 6_000;
        }

        @Override
        public CommandReply start(Endpoint address, StartRequest request, long timeoutMillis) {
            startFences.add(request.fence());
            check(address, take(startsToThrowBefore));
            CommandReply reply = calls.start(address, request, timeoutMillis);
            check(address, take(startsToThrowAfter));
            return reply;
        }

        @Override
        public CommandReply stop(Endpoint address, TaskId id, int run, long fence, long timeoutMillis) {
            check(address, take(stopsToThrow));
            return calls.stop(address, id, run, fence, timeoutMillis);
        }

        @Override
        public ReportReply report(Endpoint address, ReportRequest request, long timeoutMillis) {
            check(address, false);
            return calls.report(address, request, timeoutMillis);
        }
    }

    /** Records the events of a session, and throws at the first reports if told to. */
    private static final class Recorder implements SessionEvents {
        final AtomicInteger reportsToThrow = new AtomicInteger();
        final LinkedBlockingQueue<TargetReport> reported = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<TargetCommand.Start> started = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<String> unresponsive = new LinkedBlockingQueue<>();

        @Override
        public void reported(TargetReport report) {
            if (reportsToThrow.getAndUpdate(value -> Math.max(0, value - 1)) > 0) {
                throw new IllegalStateException("cannot take " + report);
            }
            reported.add(report);
        }

        @Override
        public void started(TargetCommand.Start start) {
            started.add(start);
        }

        @Override
        public void notStarted(TargetCommand.Start start, String reason, long exclusionMillis) {
            throw new AssertionError(reason);
        }

        @Override
        public void startAbsent(TargetCommand.Start start, Runnable resend) {
            resend.run();
        }

        @Override
        public void unresponsive(String target, long exclusionMillis) {
            unresponsive.add(target);
        }

        @Override
        public void leaseExpired(String target) {
            throw new AssertionError(target);
        }

        @Override
        public void deposed(String target) {
            throw new AssertionError(target);
        }

        @Override
        public boolean isLeading() {
            return true;
        }
    }
}
