package org.acaciaport.node;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;

/**
 * Passes what sessions and the replica tell of targets and jobs on to the pool of a term.
 *
 * <p>Thread-safe. The pool is used on the thread of the term only, to which each event is posted.
 */
final class PoolEvents implements SessionEvents, Replica.Listener {
    private final Pool pool;
    private final EventQueue events;
    private final JobIntake jobIntake;
    private final Executor background;
    private final Consumer<String> end;
    private final BooleanSupplier leading;

    /**
     * Creates a receiver of events.
     *
     * @param background runs what may block
     * @param end ends the term, with the reason
     * @param leading whether the term was confirmed recently enough to send commands
     */
    PoolEvents(
            Pool pool,
            EventQueue events,
            JobIntake jobIntake,
            Executor background,
            Consumer<String> end,
            BooleanSupplier leading) {
        this.pool = pool;
        this.events = events;
        this.jobIntake = jobIntake;
        this.background = background;
        this.end = end;
        this.leading = leading;
    }

    @Override
    public void submitted(Job job) {
        events.post(() -> jobIntake.submit(job, Clocks.now()));
    }

    @Override
    public void cancelled(CancelRecord cancel) {
        events.post(() -> pool.cancel(cancel.id(), Clocks.now()));
    }

    @Override
    public void reported(TargetReport report) {
        events.post(() -> pool.handleReport(report, Clocks.now()));
    }

    @Override
    public void started(TargetCommand.Start start) {
        events.post(() -> pool.handleStarted(start, Clocks.now()));
    }

    @Override
    public void notStarted(TargetCommand.Start start, String reason, long exclusionMillis) {
        events.post(() -> pool.handleStartFailure(start, reason, exclusionMillis, Clocks.now()));
    }

    @Override
    public void startAbsent(TargetCommand.Start start, Runnable resend) {
        events.post(() -> {
            if (pool.isWanted(start)) {
                background.execute(resend);
            } else {
                pool.handleStartFailure(start, "not wanted", 0, Clocks.now());
            }
        });
    }

    @Override
    public void unresponsive(String target, long exclusionMillis) {
        events.post(() -> pool.exclude(target, exclusionMillis, Clocks.now()));
    }

    @Override
    public void leaseExpired(String target) {
        events.post(() -> pool.handleLeaseExpiry(target, TargetSession.EXCLUSION_MILLIS, Clocks.now()));
    }

    @Override
    public void deposed(String target) {
        end.accept("target " + target + " has seen a later term");
    }

    @Override
    public boolean isLeading() {
        return leading.getAsBoolean();
    }
}
