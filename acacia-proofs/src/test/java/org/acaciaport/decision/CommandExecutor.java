package org.acaciaport.decision;

import java.util.random.RandomGenerator;
import org.acaciaport.config.Treatment;

/**
 * Executes the leader's commands on the fake targets and the fake log, and reports the results to the leader.
 *
 * <p>A command counts as sent by the leader of the epoch in which it was decided; targets refuse it once they know a
 * later epoch. Times are virtual, in milliseconds. Not thread-safe.
 */
final class CommandExecutor {
    private static final long RESERVATION_HOLD_MILLIS = 2_000; // beyond the deadline of the answer

    private final VirtualTime time;
    private final RandomGenerator random;
    private final SimulatedLeader leader;
    private final FakeNetwork network;
    private final FakeLog log;
    private final FakeTargets targets;
    private final ExternalInvariants externalInvariants;

    CommandExecutor(
            VirtualTime time,
            RandomGenerator random,
            SimulatedLeader leader,
            FakeNetwork network,
            FakeLog log,
            FakeTargets targets,
            ExternalInvariants externalInvariants) {
        this.time = time;
        this.random = random;
        this.leader = leader;
        this.network = network;
        this.log = log;
        this.targets = targets;
        this.externalInvariants = externalInvariants;
    }

    /** Executes {@code command} of the leader of {@code senderEpoch}. */
    void execute(Command command, long senderEpoch) {
        switch (command) {
            case Command.Reserve reserve -> network.send(() -> reserve(reserve, senderEpoch));
            case Command.Release release -> network.send(() -> release(release, senderEpoch));
            case Command.Start start -> {
                int incarnation = targets.get(start.member().target()).incarnation();
                network.sendInOrder(start.member().target(), () -> start(start, senderEpoch, incarnation));
            }
            case Command.Treat treat -> {
                int incarnation = targets.get(treat.member().target()).incarnation();
                network.sendInOrder(treat.member().target(), () -> treat(treat, senderEpoch, incarnation));
            }
            case Command.Resume resume ->
                network.sendInOrder(resume.member().target(), () -> resume(resume, senderEpoch));
            case Command.RecordIntent intent -> log.append(() -> recordIntent(intent, senderEpoch));
            case Command.RecordVoid recordVoid -> log.append(() -> log.recordVoid(recordVoid));
            case Command.Answer answer -> answer(answer);
            case Command.HandOver handOver -> network.send(() -> handOver(handOver, senderEpoch));
        }
    }

    private void reserve(Command.Reserve reserve, long senderEpoch) {
        FakeTarget target = targets.get(reserve.member().target());
        String key = FakeTarget.memberKey(
                reserve.request(), reserve.attempt(), reserve.member().index());
        boolean granted = target.acceptEpoch(senderEpoch)
                && target.reserve(
                        key, reserve.member().units(), time.now(), reserve.deadline() + RESERVATION_HOLD_MILLIS);
        network.report(
                senderEpoch,
                new Event.ReserveAnswered(
                        reserve.request(), reserve.attempt(), reserve.member().index(), granted));
    }

    private void release(Command.Release release, long senderEpoch) {
        FakeTarget target = targets.get(release.member().target());
        if (target.acceptEpoch(senderEpoch)) {
            target.release(FakeTarget.memberKey(
                    release.request(), release.attempt(), release.member().index()));
        }
    }

    private void start(Command.Start start, long senderEpoch, int incarnation) {
        FakeTarget target = targets.get(start.member().target());
        if (!target.acceptEpoch(senderEpoch) || target.incarnation() != incarnation) {
            return;
        }
        externalInvariants.checkStartArrival(start, target.id(), time.now());
        if (!target.start(start, time.now())) {
            reportStarted(start, senderEpoch, MemberState.Status.NOT_STARTED, "");
            return;
        }
        externalInvariants.checkStarted(start);
        reportStarted(start, senderEpoch, MemberState.Status.RUNNING, "");
        long runMillis = Long.parseLong(start.request().payload());
        boolean fails = targets.fails(start.request().id(), target);
        long endsAfterMillis = fails ? Math.min(runMillis, 50) : runMillis;
        time.schedule(endsAfterMillis, () -> finishMember(start, target, fails));
    }

    private void finishMember(Command.Start start, FakeTarget target, boolean fails) {
        String key = FakeTarget.memberKey(
                start.request().id(), start.attempt().number(), start.member().index());
        if (target.isUp() && target.end(key)) {
            MemberState.Status status = fails ? MemberState.Status.FAILED : MemberState.Status.ENDED;
            reportStarted(
                    start,
                    leader.epoch(),
                    status,
                    "output of " + start.request().id());
        }
    }

    private void reportStarted(Command.Start start, long epoch, MemberState.Status status, String output) {
        reportMember(
                epoch, start.request().id(), start.attempt().number(), start.member(), new MemberState(status, output));
    }

    private void reportMember(long epoch, String request, long attempt, Member member, MemberState state) {
        network.report(epoch, new Event.MemberChanged(request, attempt, member.index(), state));
    }

    private void treat(Command.Treat treat, long senderEpoch, int incarnation) {
        FakeTarget target = targets.get(treat.member().target());
        if (!target.acceptEpoch(senderEpoch) || target.incarnation() != incarnation) {
            return;
        }
        if (target.ignoresTreatments() && treat.treatment() != Treatment.STOP) {
            return;
        }
        String key = FakeTarget.memberKey(
                treat.request(), treat.attempt(), treat.member().index());
        if (target.refuseIfNotStarted(key)) {
            reportTreated(treat, senderEpoch, MemberState.Status.NOT_STARTED);
            return;
        }
        long durationMillis =
                treat.treatment() == Treatment.CHECKPOINT ? random.nextLong(20, 2_500) : random.nextLong(5, 100);
        time.schedule(durationMillis, () -> {
            if (target.isUp() && target.end(key)) {
                reportTreated(treat, senderEpoch, statusAfter(treat));
            }
        });
    }

    private void reportTreated(Command.Treat treat, long epoch, MemberState.Status status) {
        reportMember(epoch, treat.request(), treat.attempt(), treat.member(), MemberState.of(status));
    }

    private static MemberState.Status statusAfter(Command.Treat treat) {
        return switch (treat.treatment()) {
            case CHECKPOINT -> MemberState.Status.CHECKPOINTED;
            case THROTTLE -> MemberState.Status.THROTTLED;
            case STOP -> MemberState.Status.STOPPED;
        };
    }

    private void resume(Command.Resume resume, long senderEpoch) {
        FakeTarget target = targets.get(resume.member().target());
        if (!target.acceptEpoch(senderEpoch)) {
            return;
        }
        String key = FakeTarget.memberKey(
                resume.request(), resume.attempt(), resume.member().index());
        target.resume(key, resume.member().units());
        time.schedule(random.nextLong(50, 5_000), () -> {
            if (target.isUp() && target.end(key)) {
                MemberState ended = new MemberState(MemberState.Status.ENDED, "output of " + resume.request());
                reportMember(leader.epoch(), resume.request(), resume.attempt(), resume.member(), ended);
            }
        });
    }

    private void recordIntent(Command.RecordIntent intent, long senderEpoch) {
        boolean recorded = leader.isLeading(senderEpoch) && log.recordIntent(intent);
        network.report(
                senderEpoch,
                new Event.IntentAnswered(intent.request().id(), intent.attempt().number(), recorded));
    }

    private void handOver(Command.HandOver handOver, long senderEpoch) {
        boolean recorded = log.isAvailable() && leader.isLeading(senderEpoch) && random.nextInt(4) > 0;
        if (recorded) {
            log.recordHandOver(handOver.request());
        }
        leader.handleIfLeading(
                senderEpoch, new Event.HandOverAnswered(handOver.request().id(), recorded));
    }

    private void answer(Command.Answer answer) {
        externalInvariants.checkAnswer(answer);
        log.recordAnswer(answer);
    }
}
