package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Batch;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.PoolSettings;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetInfo;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that runs which are no longer wanted do not start, and end, although commands are lost or delayed. */
final class UnwantedRunTest {
    private static final String SERVICE = "render";
    private static final TaskId TASK = new TaskId("a", 0, 0, 0);

    private final MemoryTarget target = new MemoryTarget();
    private final Pool pool = new Pool();
    private final PoolEvents events = new PoolEvents();
    private final TargetSession session = new TargetSession(
            new TargetCalls.Endpoint("t", "host:1"),
            target,
            events,
            1_000,
            new TargetLease(System.nanoTime() + TimeUnit.HOURS.toNanos(1), false, 6_000));

    @AfterEach
    void closeSession() {
        session.close();
    }

    /** Registers the target, waits for its report, and has the only task of a job placed; its record is pending. */
    private Batch placeTask() {
        Resources capacity = new Resources(32_000, 64_000, 8);
        Step step =
                new Step(1, new Resources(1_000, 1_000, 1), 5_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(1, 3, 1.5, 250);
        Job job = new Job("a", "queue", SERVICE, "account", terms, "payload", List.of(step), Job.Schedule.NOW, 1);
        synchronized (pool) {
            pool.configure(new PoolSettings(Map.of(), Set.of(), Map.of()));
            pool.register(new TargetInfo("t", SERVICE, "host:1", "dc", "rack", Set.of(), capacity, false, 0, 1));
        }
        session.setOccupied(true);
        Conditions.await(() -> events.lastIncarnation == 1);
        synchronized (pool) {
            pool.submit(job, Clocks.now());
            pool.schedule(Clocks.now());
            return pool.takeBatch();
        }
    }

    private void release(Batch batch) {
        assertThat(batch.starts()).hasSize(1);
        session.start(batch.starts().get(0));
    }

    /** Cancels the job and returns the stop command of its task. */
    private TargetCommand.Stop cancelJob() {
        synchronized (pool) {
            pool.cancel("a", Clocks.now());
            List<TargetCommand.Stop> stops = pool.takeStops();
            assertThat(stops).hasSize(1);
            return stops.get(0);
        }
    }

    /**
     * Guards against starting a task seconds after its job was cancelled. The record of the start becomes durable only
     * after the cancellation, and the stop command, which would make the target reject the start, is lost.
     */
    @Test
    void aStartReleasedAfterALostStopIsNotSent() {
        Batch batch = placeTask();
        target.stopsToLose = Integer.MAX_VALUE;
        session.stop(cancelJob());
        release(batch);
        assertThat(target.started).isEmpty();
    }

    /** Guards against runs of cancelled jobs that go on because their stop command was lost. */
    @Test
    void aLostStopIsSentAgainUntilTheTargetConfirmsIt() {
        release(placeTask());
        target.stopsToLose = 3;
        session.stop(cancelJob());
        Conditions.await(() -> !target.stops.isEmpty());
        assertThat(target.isRunning(TASK)).isFalse();
    }

    /** Guards against dropping a stop that is issued while the log does not confirm the term. */
    @Test
    void aStopIssuedWhileTheTermIsNotConfirmedIsSentOnceItIs() {
        release(placeTask());
        events.leading = false;
        session.stop(cancelJob());
        assertThat(target.stops).isEmpty();
        events.leading = true;
        Conditions.await(() -> !target.stops.isEmpty());
    }

    /**
     * Guards against a task that runs twice. The record of a start becomes durable only after the target has restarted
     * and the pool has placed the task anew, so the pool neither expects nor stops the first run.
     */
    @Test
    void aStartForAnEarlierIncarnationIsNotSent() {
        Batch batch = placeTask();
        target.restart();
        session.announceIncarnation(2);
        Conditions.await(() -> events.lastIncarnation == 2);
        release(batch);
        assertThat(target.started).isEmpty();
    }

    /** Guards against a start that is sent again although the limit of its account was lowered below it meanwhile. */
    @Test
    void aStartBeyondALoweredLimitIsNotSentAgain() {
        Batch batch = placeTask();
        target.startsToThrow = 1;
        setLimit(new Resources(500, 0, 0));
        release(batch);
        Conditions.await(this::isWaiting);
        assertThat(target.started).isEmpty();
    }

    private void setLimit(Resources limit) {
        synchronized (pool) {
            pool.configure(new PoolSettings(Map.of("account", AccountTerms.ofLimit(limit)), Set.of(), Map.of()));
        }
    }

    private boolean isWaiting() {
        synchronized (pool) {
            return pool.backlog().running() == 0;
        }
    }

    /**
     * Passes the events of the session to the pool as {@link Term} does. Stops that the pool issues after a report are
     * not sent, so that only the session can repeat one.
     */
    private final class PoolEvents implements SessionEvents {
        volatile long lastIncarnation;
        volatile boolean leading = true;

        @Override
        public void reported(TargetReport report) {
            synchronized (pool) {
                pool.handleReport(report, Clocks.now());
                lastIncarnation = report.incarnation();
            }
        }

        @Override
        public void started(TargetCommand.Start start) {
            synchronized (pool) {
                pool.handleStarted(start, Clocks.now());
            }
        }

        @Override
        public void notStarted(TargetCommand.Start start, String reason, long exclusionMillis) {
            synchronized (pool) {
                pool.handleStartFailure(start, reason, exclusionMillis, Clocks.now());
            }
        }

        @Override
        public void startAbsent(TargetCommand.Start start, Runnable resend) {
            boolean wanted;
            synchronized (pool) {
                wanted = pool.isWanted(start);
                if (!wanted) {
                    pool.handleStartFailure(start, "not wanted", 0, Clocks.now());
                }
            }
            if (wanted) {
                resend.run();
            }
        }

        @Override
        public void unresponsive(String id, long exclusionMillis) {
            synchronized (pool) {
                pool.exclude(id, exclusionMillis, Clocks.now());
            }
        }

        @Override
        public void leaseExpired(String id) {
            synchronized (pool) {
                pool.handleLeaseExpiry(id, 0, Clocks.now());
            }
        }

        @Override
        public void deposed(String id) {
            throw new AssertionError(id);
        }

        @Override
        public boolean isLeading() {
            return leading;
        }
    }
}
