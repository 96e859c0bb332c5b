package org.acaciaport.decision;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Target;

/**
 * All targets of the simulated data centre, with their crashes and failures.
 *
 * <p>The set of targets is that of the original configuration and never changes. Not thread-safe.
 */
final class FakeTargets {
    private final VirtualTime time;
    private final RandomGenerator random;
    private final SimulatedLeader leader;
    private final Map<String, FakeTarget> targets;
    private final Set<String> failingRequests = new HashSet<>();

    FakeTargets(VirtualTime time, RandomGenerator random, SimulatedLeader leader, Map<String, FakeTarget> targets) {
        this.time = time;
        this.random = random;
        this.leader = leader;
        this.targets = targets;
    }

    /** Returns a fake for each target of {@code dataCentre}, by identifier and in its order. */
    static Map<String, FakeTarget> create(Configuration configuration, String dataCentre) {
        Map<String, FakeTarget> targets = new TreeMap<>();
        for (Target target : configuration.targetsOf(dataCentre)) {
            targets.put(target.id(), new FakeTarget(target));
        }
        return targets;
    }

    /** Returns the targets by identifier, in its order. */
    Map<String, FakeTarget> byId() {
        return targets;
    }

    /** Returns the target with identifier {@code id}, or null if the data centre has none. */
    FakeTarget get(String id) {
        return targets.get(id);
    }

    FakeTarget randomTarget() {
        List<FakeTarget> all = List.copyOf(targets.values());
        return all.get(random.nextInt(all.size()));
    }

    /** Makes the members of {@code request} fail on any target until {@link #endFailures}. */
    void failRequest(String request) {
        failingRequests.add(request);
    }

    /** Returns whether a member of {@code request} fails if it starts on {@code target} now. */
    boolean fails(String request, FakeTarget target) {
        return target.failsAll() || failingRequests.contains(request);
    }

    /** Crashes {@code target}, which restarts later; the leader may learn of the crash before. */
    void crash(FakeTarget target) {
        if (!target.isUp()) {
            return;
        }
        target.crash();
        int incarnation = target.incarnation();
        time.schedule(1_000 + random.nextLong(5_000), () -> {
            if (!target.isUp() && target.incarnation() == incarnation) {
                leader.handle(new Event.TargetLost(target.id()));
            }
        });
        time.schedule(8_000 + random.nextLong(20_000), () -> restart(target));
    }

    void crashRack(String rack) {
        targets.values().stream().filter(t -> t.target().rack().equals(rack)).forEach(this::crash);
    }

    private void restart(FakeTarget target) {
        if (target.isUp()) {
            return;
        }
        target.restart();
        target.acceptEpoch(leader.epoch());
        leader.handle(new Event.TargetLost(target.id()));
        leader.handle(new Event.TargetReachable(target.id()));
    }

    /** Ends the failures of all targets and makes them obey treatments again. */
    void heal() {
        targets.values().forEach(FakeTargets::heal);
    }

    private static void heal(FakeTarget target) {
        target.setFailsAll(false);
        target.setIgnoresTreatments(false);
    }

    /** Heals and restarts all targets, and ends the failures of requests. */
    void endFailures() {
        targets.values().forEach(target -> {
            heal(target);
            restart(target);
        });
        failingRequests.clear();
    }
}
