package org.acaciaport.decision;

import java.util.List;
import org.acaciaport.request.Request;

/**
 * Replaces the leader by one that knows nothing but what the log, the platform and the targets report.
 *
 * <p>Members that the new leader does not know are ended. Not thread-safe.
 */
final class LeaderRecovery {
    private final SimulatedLeader leader;
    private final FakeLog log;
    private final FakePlatform platform;
    private final FakeTargets targets;

    LeaderRecovery(SimulatedLeader leader, FakeLog log, FakePlatform platform, FakeTargets targets) {
        this.leader = leader;
        this.log = log;
        this.platform = platform;
        this.targets = targets;
    }

    void replaceLeader() {
        leader.startNextEpoch();
        log.dropPendingRecords();
        leader.handle(new Event.Configured(platform.active()));
        leader.handle(new Event.LogChanged(log.isAvailable()));
        leader.handle(new Event.LeavingListed(platform.leavingTargets()));
        for (Request request : List.copyOf(log.accepted().values())) {
            if (!log.isAnswered(request.id())) {
                leader.handle(new Event.Recovered(request, log.intent(request.id()), log.isCheckpointed(request.id())));
            }
        }
        targets.byId().values().forEach(this::recover);
    }

    /** Reports the running members of {@code target}, and the target itself if it is up. */
    private void recover(FakeTarget target) {
        target.acceptEpoch(leader.epoch());
        for (String key : target.runningKeys()) {
            recoverMember(target, key);
        }
        if (target.isUp()) {
            leader.handle(new Event.TargetReachable(target.id()));
        }
    }

    private void recoverMember(FakeTarget target, String key) {
        String[] parts = key.split("#");
        String request = parts[0];
        long attempt = Long.parseLong(parts[1]);
        int member = Integer.parseInt(parts[2]);
        if (isCurrent(request, attempt)) {
            leader.handle(
                    new Event.MemberChanged(request, attempt, member, MemberState.of(MemberState.Status.RUNNING)));
        } else {
            target.end(key);
        }
    }

    private boolean isCurrent(String request, long attempt) {
        Job job = leader.state().workload().jobs().get(request);
        return job != null
                && job.phase() instanceof Phase.Running running
                && running.attempt().number() == attempt;
    }
}
