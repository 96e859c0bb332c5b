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
 * Keeps the lease at one target during one term of leadership, reports what changes there and passes commands on, in
 * order.
 *
 * <p>Safe for use by several threads. One thread polls and one sends commands.
 */
final class TargetLink implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(TargetLink.class);
    private static final long POLL_WAIT_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 100;
    private static final long RETRY_MOST_MILLIS = 1_000;

    /** The lease counts as lapsed only this much later, in percent, so that clocks may run at different rates. */
    private static final int PATIENCE_PERCENT = 125;

    /** What a term of leadership hears from its links. */
    interface Listener {
        /** Called with everything that the decisions must know. */
        void event(Event event);

        /** Called with a task that the target reports. */
        void task(Target target, TargetClient.Task task);

        /** Called when a target has seen a later epoch. */
        void deposed();
    }

    /** A reading of the target's clock, the local time at which it was received, and the target's incarnation. */
    private record ClockSample(long target, long local, String incarnation) {}

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

    TargetLink(Target target, long epoch, long leaseMillis, TargetClient client, Clock clock, Listener listener) {
        this.target = target;
        this.epoch = epoch;
        this.leaseMillis = leaseMillis;
        this.client = client;
        this.clock = clock;
        this.listener = listener;
    }

    void start() {
        Thread.ofVirtual().name("poll-" + target.id()).start(this::poll);
    }

    @Override
    public void close() {
        open = false;
        commands.shutdown();
    }

    private void poll() {
        long since = 0;
        long leaseUntil = Long.MIN_VALUE;
        boolean reachable = false;
        int failures = 0;
        while (open) {
            long sentAt = clock.millis();
            try {
                TargetClient.Report report = client.poll(target, epoch, since, POLL_WAIT_MILLIS, leaseMillis);
                if (reachable && !report.incarnation().equals(sample.incarnation())) {
                    LOG.warnf("target: restarted target=%s", target.id());
                    listener.event(new Event.TargetLost(target.id()));
                    reachable = false;
                }
                sample = new ClockSample(report.clock(), clock.millis(), report.incarnation());
                report.tasks().forEach(task -> listener.task(target, task));
                since = report.version();
                leaseUntil = sentAt + leaseMillis * PATIENCE_PERCENT / 100;
                failures = 0;
                if (!reachable) {
                    reachable = true;
                    listener.event(new Event.TargetReachable(target.id()));
                }
            } catch (PlatformException e) {
                if (e.kind() == PlatformException.Kind.STALE_EPOCH) {
                    listener.deposed();
                    return;
                }
                failures++;
                if (reachable && clock.millis() > leaseUntil) {
                    reachable = false;
                    since = 0;
                    LOG.warnf("target: lost target=%s, %s", target.id(), e.getMessage());
                    listener.event(new Event.TargetLost(target.id()));
                }
                pause(failures);
            }
        }
    }

    /** Sends what the decisions want of this target. */
    void send(Supplier<Boolean> wanted, Command command) {
        if (!open) {
            return;
        }
        commands.execute(() -> {
            try {
                run(wanted, command);
            } catch (RuntimeException e) {
                LOG.errorf(e, "target: command failed, target=%s command=%s", target.id(), command);
            }
        });
    }

    private void run(Supplier<Boolean> wanted, Command command) {
        switch (command) {
            case Command.Reserve reserve -> reserve(reserve);
            case Command.Release release ->
                attempt(() -> client.release(target, place(release.request(), release.attempt(), release.member())));
            case Command.Start start -> start(start, wanted);
            case Command.Treat treat -> treat(treat, wanted);
            case Command.Resume resume ->
                attempt(() -> client.resume(target, place(resume.request(), resume.attempt(), resume.member())));
            case Command.RecordIntent recordIntent -> {}
            case Command.RecordVoid recordVoid -> {}
            case Command.Answer answer -> {}
            case Command.HandOver handOver -> {}
        }
    }

    private void reserve(Command.Reserve reserve) {
        boolean granted = attempt(() -> client.reserve(
                target,
                place(reserve.request(), reserve.attempt(), reserve.member()),
                2 * Math.max(1, reserve.deadline() - clock.millis())));
        listener.event(new Event.ReserveAnswered(
                reserve.request(), reserve.attempt(), reserve.member().index(), granted));
    }

    /**
     * Repeats the start until the target answers: before the deadline it starts once, after it never does, so the
     * answer is certain.
     */
    private void start(Command.Start start, Supplier<Boolean> wanted) {
        TargetClient.Place place = place(start.request().id(), start.attempt().number(), start.member());
        TargetClient.Work work = new TargetClient.Work(
                start.request().profile().name(), start.request().payload(), start.resume());
        ClockSample now = sample;
        long startBefore = now.target() + start.attempt().startBefore() - now.local();
        for (int tries = 1; open && wanted.get(); tries++) {
            try {
                client.start(target, place, work, now.incarnation(), startBefore);
                report(start, MemberState.Status.RUNNING);
                return;
            } catch (PlatformException e) {
                if (e.kind() == PlatformException.Kind.STALE_EPOCH) {
                    listener.deposed();
                    return;
                }
                LOG.warnf(
                        "target: start not confirmed, target=%s request=%s tries=%d, %s",
                        target.id(), start.request().id(), tries, e.getMessage());
                boolean firstRefused = e.kind() == PlatformException.Kind.NOT_DONE && tries == 1;
                if (firstRefused || e.kind() == PlatformException.Kind.EXPIRED) {
                    report(start, MemberState.Status.NOT_STARTED);
                    return;
                }
                pause(tries);
            }
        }
    }

    private void treat(Command.Treat treat, Supplier<Boolean> wanted) {
        TargetClient.Place place = place(treat.request(), treat.attempt(), treat.member());
        String incarnation = sample.incarnation();
        for (int tries = 1; open && clock.millis() < treat.deadline(); tries++) {
            if (attempt(() -> client.treat(target, place, treat.treatment(), incarnation)) || !wanted.get()) {
                return;
            }
            pause(tries);
        }
    }

    private void report(Command.Start start, MemberState.Status status) {
        listener.event(new Event.MemberChanged(
                start.request().id(), start.attempt().number(), start.member().index(), new MemberState(status, "")));
    }

    private TargetClient.Place place(String request, long attempt, Member member) {
        return new TargetClient.Place(epoch, request, attempt, member.index(), member.units());
    }

    /** A call to the target. */
    private interface Call {
        void run() throws PlatformException;
    }

    private boolean attempt(Call call) {
        try {
            call.run();
            return true;
        } catch (PlatformException e) {
            if (e.kind() == PlatformException.Kind.STALE_EPOCH) {
                listener.deposed();
            }
            LOG.debugf("target: call failed, target=%s, %s", target.id(), e.getMessage());
            return false;
        }
    }

    private static void pause(int tries) {
        long most = Math.min(RETRY_MOST_MILLIS, RETRY_MILLIS << Math.min(tries, 4));
        try {
            Thread.sleep(most / 2 + ThreadLocalRandom.current().nextLong(most / 2 + 1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
