package org.acaciaport.scheduler;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.acaciaport.config.Target;
import org.acaciaport.decision.Command;
import org.acaciaport.decision.Event;
import org.acaciaport.decision.Member;
import org.acaciaport.decision.MemberState;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.platform.TargetClient;
import org.jboss.logging.Logger;

/**
 * The connection of one leader term to one target. It keeps the lease at the target by polling, reports changes at the
 * target to a listener and sends commands to the target in order.
 *
 * <p>Thread-safe. One thread polls and another sends commands, so a command that is retried delays those behind it but
 * not the polls.
 */
final class TargetSession implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(TargetSession.class);
    private static final long POLL_TIMEOUT_MILLIS = 1_000;
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    /** Keeps the shift from overflowing. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /**
     * Time since the last successful poll was sent after which the target counts as lost, as a percentage of the lease.
     * It is longer than the lease because clocks may run at different rates.
     */
    private static final int LOSS_DELAY_PERCENT = 125;

    /** Receives what a session learns about its target, on the session's threads. */
    interface Listener {
        /** Called with each event for the decider. */
        void onEvent(Event event);

        /** Called with each task whose state changed at the target. */
        void onTaskReport(Target target, TargetClient.Task task);

        /** Called when the target refuses a call because it has seen a later epoch. */
        void onSuperseded();
    }

    /**
     * A reading of the target's clock, to convert local times to the target's clock.
     *
     * @param targetMillis the reading
     * @param localMillis local time at which the reading was received
     * @param incarnation incarnation of the target that reported it
     */
    private record ClockSample(long targetMillis, long localMillis, String incarnation) {}

    private final Target target;
    private final long epoch;
    private final long leaseMillis;
    private final TargetClient client;
    private final Clock clock;
    private final Listener listener;
    private final ExecutorService commands =
            Executors.newSingleThreadExecutor(Thread.ofVirtual().factory());
    private volatile ClockSample sample = new ClockSample(0, 0, "");
    private volatile boolean open = true;

    TargetSession(Target target, long epoch, long leaseMillis, TargetClient client, Clock clock, Listener listener) {
        this.target = target;
        this.epoch = epoch;
        this.leaseMillis = leaseMillis;
        this.client = client;
        this.clock = clock;
        this.listener = listener;
    }

    /** Starts to poll the target. */
    void start() {
        Thread.ofVirtual().name("poll-" + target.id()).start(this::pollLoop);
    }

    @Override
    public void close() {
        open = false;
        commands.shutdown();
    }

    private void pollLoop() {
        long knownVersion = 0;
        long leaseExpiresAt = Long.MIN_VALUE;
        boolean reachable = false;
        int failures = 0;
        while (open) {
            long sentAt = clock.millis();
            try {
                TargetClient.Report report = client.poll(target, epoch, knownVersion, POLL_TIMEOUT_MILLIS, leaseMillis);
                if (reachable && !report.incarnation().equals(sample.incarnation())) {
                    LOG.warnf("target: restarted target=%s", target.id());
                    listener.onEvent(new Event.TargetLost(target.id()));
                    reachable = false;
                }
                sample = new ClockSample(report.clock(), clock.millis(), report.incarnation());
                report.tasks().forEach(task -> listener.onTaskReport(target, task));
                knownVersion = report.version();
                leaseExpiresAt = sentAt + leaseMillis * LOSS_DELAY_PERCENT / 100;
                failures = 0;
                if (!reachable) {
                    reachable = true;
                    listener.onEvent(new Event.TargetReachable(target.id()));
                }
            } catch (PlatformException e) {
                if (e.kind() == PlatformException.Kind.STALE_EPOCH) {
                    listener.onSuperseded();
                    return;
                }
                failures++;
                if (reachable && clock.millis() > leaseExpiresAt) {
                    reachable = false;
                    knownVersion = 0;
                    LOG.warnf("target: lost target=%s, %s", target.id(), e.getMessage());
                    listener.onEvent(new Event.TargetLost(target.id()));
                }
                backOff(failures);
            }
        }
    }

    /**
     * Queues {@code command} to be sent to the target. Does nothing if the session is closed.
     *
     * @param stillWanted whether to go on retrying the command; queried on the sending thread
     */
    void send(Supplier<Boolean> stillWanted, Command command) {
        if (!open) {
            return;
        }
        commands.execute(() -> {
            try {
                execute(stillWanted, command);
            } catch (RuntimeException e) {
                LOG.errorf(e, "target: command failed, target=%s command=%s", target.id(), command);
            }
        });
    }

    private void execute(Supplier<Boolean> stillWanted, Command command) {
        switch (command) {
            case Command.Reserve reserve -> reserve(reserve);
            case Command.Release release ->
                tryCall(() -> client.release(target, place(release.request(), release.attempt(), release.member())));
            case Command.Start start -> start(start, stillWanted);
            case Command.Treat treat -> treat(treat, stillWanted);
            case Command.Resume resume ->
                tryCall(() -> client.resume(target, place(resume.request(), resume.attempt(), resume.member())));
            case Command.RecordIntent recordIntent -> {}
            case Command.RecordVoid recordVoid -> {}
            case Command.Answer answer -> {}
            case Command.HandOver handOver -> {}
        }
    }

    /**
     * Asks the target once to reserve the place, and reports whether it does. The reservation outlasts the deadline for
     * the answer, since the start is sent only after all targets of the attempt have answered.
     */
    private void reserve(Command.Reserve reserve) {
        boolean granted = tryCall(() -> client.reserve(
                target,
                place(reserve.request(), reserve.attempt(), reserve.member()),
                2 * Math.max(1, reserve.deadline() - clock.millis())));
        listener.onEvent(new Event.ReserveAnswered(
                reserve.request(), reserve.attempt(), reserve.member().index(), granted));
    }

    /**
     * Retries the start until its effect is certain. The call is idempotent, and after the deadline the target refuses
     * it for good, so an answer settles whether the task was started.
     */
    private void start(Command.Start start, Supplier<Boolean> stillWanted) {
        TargetClient.Place place = place(start.request().id(), start.attempt().number(), start.member());
        TargetClient.Work work = new TargetClient.Work(
                start.request().profile().name(), start.request().payload(), start.resume());
        ClockSample latest = sample;
        // The target read its clock before localMillis, so the converted deadline is never too late.
        long startBefore = latest.targetMillis() + start.attempt().startBefore() - latest.localMillis();
        for (int tries = 1; open && stillWanted.get(); tries++) {
            try {
                client.start(target, place, work, latest.incarnation(), startBefore);
                reportStatus(start, MemberState.Status.RUNNING);
                return;
            } catch (PlatformException e) {
                if (e.kind() == PlatformException.Kind.STALE_EPOCH) {
                    listener.onSuperseded();
                    return;
                }
                LOG.warnf(
                        "target: start not confirmed, target=%s request=%s tries=%d, %s",
                        target.id(), start.request().id(), tries, e.getMessage());
                // On a later try, NOT_DONE says nothing about the earlier calls, which may have started the task.
                boolean certainlyNotStarted = e.kind() == PlatformException.Kind.NOT_DONE && tries == 1;
                if (certainlyNotStarted || e.kind() == PlatformException.Kind.EXPIRED) {
                    reportStatus(start, MemberState.Status.NOT_STARTED);
                    return;
                }
                backOff(tries);
            }
        }
    }

    /** Retries the treatment until the target accepts it, it is no longer wanted or its deadline has passed. */
    private void treat(Command.Treat treat, Supplier<Boolean> stillWanted) {
        TargetClient.Place place = place(treat.request(), treat.attempt(), treat.member());
        String incarnation = sample.incarnation();
        for (int tries = 1; open && clock.millis() < treat.deadline(); tries++) {
            if (tryCall(() -> client.treat(target, place, treat.treatment(), incarnation)) || !stillWanted.get()) {
                return;
            }
            backOff(tries);
        }
    }

    private void reportStatus(Command.Start start, MemberState.Status status) {
        listener.onEvent(new Event.MemberChanged(
                start.request().id(), start.attempt().number(), start.member().index(), new MemberState(status, "")));
    }

    private TargetClient.Place place(String request, long attempt, Member member) {
        return new TargetClient.Place(epoch, request, attempt, member.index(), member.units());
    }

    /** A call to the target that may fail. */
    private interface Call {
        void run() throws PlatformException;
    }

    /** Makes {@code call} once and returns whether it succeeded. */
    private boolean tryCall(Call call) {
        try {
            call.run();
            return true;
        } catch (PlatformException e) {
            if (e.kind() == PlatformException.Kind.STALE_EPOCH) {
                listener.onSuperseded();
            }
            LOG.debugf("target: call failed, target=%s, %s", target.id(), e.getMessage());
            return false;
        }
    }

    /** Sleeps for the backoff that follows {@code tries} failures, reduced by a random part of up to a half. */
    private static void backOff(int tries) {
        long limit = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(tries, MAX_BACKOFF_DOUBLINGS));
        try {
            Thread.sleep(limit / 2 + ThreadLocalRandom.current().nextLong(limit / 2 + 1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
