package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAccumulator;
import org.acaciaport.pool.Backlog;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.WaitingStep;
import org.jboss.logging.Logger;

/**
 * Measures whether the thread of a term keeps up with its work, and logs the longest durations of each second.
 *
 * <p>Confined to the thread of the term, except for {@link #recordDispatch}, which is thread-safe. The durations tell
 * apart a pass that takes long, events that wait for the thread, appends that hold back commands, and commands that
 * wait for a thread of their own.
 */
final class TermLoad {
    private static final Logger LOG = Logger.getLogger(TermLoad.class);
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final long epoch;
    private final Timer eventWait;
    private final Timer pass;
    private final Timer append;
    private final Timer dispatch;
    private final LongAccumulator longestDispatchNanos = new LongAccumulator(Math::max, 0);
    private long nextReportNanos;
    private int eventCount;
    private int passCount;
    private long longestEventWaitNanos;
    private long longestPassNanos;
    private long longestIterationNanos;
    private long longestAppendNanos;

    TermLoad(long epoch, MetricRegistry metrics, ClockReading now) {
        this.epoch = epoch;
        eventWait = metrics.timer("term.event-wait");
        pass = metrics.timer("term.pass");
        append = metrics.timer("term.append");
        dispatch = metrics.timer("term.dispatch");
        nextReportNanos = now.nanosAfter(REPORT_INTERVAL_MILLIS);
    }

    /** Records that an event is handled now. */
    void recordEvent(long postedNanos) {
        eventCount++;
        longestEventWaitNanos = Math.max(longestEventWaitNanos, record(eventWait, postedNanos));
    }

    /** Records that a scheduling pass has ended now. */
    void recordPass(long startNanos) {
        passCount++;
        longestPassNanos = Math.max(longestPassNanos, record(pass, startNanos));
    }

    /** Records that an iteration of the term, with its events and its pass, has ended now. */
    void recordIteration(long startNanos) {
        longestIterationNanos = Math.max(longestIterationNanos, System.nanoTime() - startNanos);
    }

    /** Records that the commands of a batch that was taken at {@code takenNanos} may be sent now. */
    void recordAppend(long takenNanos) {
        longestAppendNanos = Math.max(longestAppendNanos, record(append, takenNanos));
    }

    /** Records that a command that was released at {@code releasedNanos} is sent now. */
    void recordDispatch(long releasedNanos) {
        longestDispatchNanos.accumulate(record(dispatch, releasedNanos));
    }

    private static long record(Timer timer, long startNanos) {
        long duration = System.nanoTime() - startNanos;
        timer.update(duration, TimeUnit.NANOSECONDS);
        return duration;
    }

    /** Logs the load of the last second and the steps that have waited longest, if a second has passed. */
    void reportIfDue(Pool pool, ClockReading now) {
        if (now.monotonicNanos() - nextReportNanos < 0) {
            return;
        }
        Backlog backlog = pool.backlog();
        LOG.infof(
                "load: epoch=%s events=%s event_wait_ms=%s passes=%s pass_ms=%s iteration_ms=%s append_ms=%s"
                        + " dispatch_ms=%s jobs=%s blocked=%s waiting=%s reserved=%s running=%s stopping=%s"
                        + " accelerators_used=%s of=%s held_back=%s",
                epoch,
                eventCount,
                toMillis(longestEventWaitNanos),
                passCount,
                toMillis(longestPassNanos),
                toMillis(longestIterationNanos),
                toMillis(longestAppendNanos),
                toMillis(longestDispatchNanos.getThenReset()),
                backlog.jobs(),
                backlog.blocked(),
                backlog.waiting(),
                backlog.reserved(),
                backlog.running(),
                backlog.stopping(),
                backlog.usedAccelerators(),
                backlog.accelerators(),
                backlog.heldBack());
        pool.longestWaitingSteps(now).forEach(TermLoad::report);
        eventCount = 0;
        passCount = 0;
        longestEventWaitNanos = 0;
        longestPassNanos = 0;
        longestIterationNanos = 0;
        longestAppendNanos = 0;
        nextReportNanos = now.nanosAfter(REPORT_INTERVAL_MILLIS);
    }

    private static void report(WaitingStep step) {
        LOG.infof(
                "wait: request=%s task=%s gang=%s waiting=%s reserved=%s occupying=%s waited_ms=%s reserved_ms=%s"
                        + " awaits=%s eligible=%s excluded=%s free_slots=%s free_slots_on_one_rack=%s",
                step.first().job(),
                step.first(),
                step.gang(),
                step.waiting(),
                step.reserved(),
                step.occupying(),
                step.waitedMillis(),
                step.reservedMillis(),
                step.awaitedTarget(),
                step.eligibleTargets(),
                step.excludedTargets(),
                step.freeSlots(),
                step.freeSlotsOnOneRack());
    }

    private static long toMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
