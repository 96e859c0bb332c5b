package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.acaciaport.config.Target;

/**
 * Injects random faults into the parts of a simulation, and ends them.
 *
 * <p>The same state of the random generator and of the parts gives the same fault. Not thread-safe.
 */
final class FaultInjector {
    private static final int BURST_REQUESTS = 100;
    private static final long TARGET_REPORT_DELAY_MILLIS = 500;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final SimulatedLeader leader;
    private final LeaderRecovery recovery;
    private final FakeLog log;
    private final FakePlatform platform;
    private final PermitRenewal permits;
    private final FakeTargets targets;
    private final SimulatedClients clients;
    private final EnumMap<Fault, Integer> counts = new EnumMap<>(Fault.class);

    FaultInjector(
            VirtualTime time,
            RandomGenerator random,
            SimulatedLeader leader,
            LeaderRecovery recovery,
            FakeLog log,
            FakePlatform platform,
            PermitRenewal permits,
            FakeTargets targets,
            SimulatedClients clients) {
        this.time = time;
        this.random = random;
        this.leader = leader;
        this.recovery = recovery;
        this.log = log;
        this.platform = platform;
        this.permits = permits;
        this.targets = targets;
        this.clients = clients;
    }

    /** Returns how many faults of each kind were injected. */
    Map<Fault, Integer> counts() {
        return counts;
    }

    /** Injects a fault drawn by {@code weights}, whose sum is {@code total}. */
    void injectRandom(Map<Fault, Integer> weights, int total) {
        int draw = random.nextInt(total);
        for (Fault fault : Fault.values()) {
            draw -= weights.getOrDefault(fault, 0);
            if (draw < 0) {
                counts.merge(fault, 1, Integer::sum);
                inject(fault);
                return;
            }
        }
    }

    private void inject(Fault fault) {
        switch (fault) {
            case SUBMIT -> submitRandom();
            case BURST -> {
                for (int i = 0; i < BURST_REQUESTS; i++) {
                    submitRandom();
                }
            }
            case CANCEL -> clients.cancelRandom();
            case CANCEL_WAVE -> clients.cancelAll();
            case TARGET_FAILS_ALL -> targets.randomTarget().setFailsAll(true);
            case TARGET_HEALS -> targets.heal();
            case TARGET_IGNORES_TREATMENTS -> targets.randomTarget().setIgnoresTreatments(true);
            case TARGET_CRASHES -> targets.crash(targets.randomTarget());
            case RACK_LOST -> targets.crashRack(targets.randomTarget().target().rack());
            case TARGET_LEAVES -> platform.startLeaving(targets.randomTarget().id());
            case TARGET_STAYS -> platform.clearLeaving();
            case DATA_CENTRE_OUT -> platform.setOutOfService(true);
            case DATA_CENTRE_IN -> platform.setOutOfService(false);
            case LOG_DOWN -> setLogAvailable(false);
            case LOG_UP -> setLogAvailable(true);
            case PERMITS_STOP -> permits.setEnabled(false);
            case PERMITS_GO_ON -> permits.setEnabled(true);
            case STALE_CONFIGURATION -> deliverStaleConfiguration();
            case CONFIGURATION_CHANGED -> changeConfiguration();
            case SCHEDULER_PAUSED -> leader.pauseUntil(time.now() + random.nextLong(500, 8_000));
            case SCHEDULER_REPLACED -> recovery.replaceLeader();
        }
    }

    private void submitRandom() {
        clients.submitRandom(platform.active().configuration());
    }

    private void setLogAvailable(boolean available) {
        if (log.isAvailable() != available) {
            log.setAvailable(available);
            leader.handle(new Event.LogChanged(available));
        }
    }

    private void deliverStaleConfiguration() {
        long revision = random.nextLong(leader.state().active().revision() + 1);
        leader.handle(new Event.Configured(new ActiveConfiguration(revision, platform.original(), Set.of())));
    }

    private void changeConfiguration() {
        Configuration original = platform.original();
        List<Profile> profiles = new ArrayList<>(original.profiles());
        profiles.remove(random.nextInt(profiles.size()));
        List<Target> remaining = new ArrayList<>(original.targets());
        if (random.nextBoolean()) {
            remaining.removeIf(t -> t.id().equals(targets.randomTarget().id()));
        }
        Configuration next = new Configuration(
                original.dataCentres(), remaining, original.accounts(), original.guarantees(), profiles);
        platform.publish(next, platform.active().out());
        for (Target target : remaining) {
            FakeTarget fake = targets.get(target.id());
            if (fake != null && fake.isUp()) {
                time.schedule(TARGET_REPORT_DELAY_MILLIS, () -> reportIfUp(fake));
            }
        }
    }

    private void reportIfUp(FakeTarget target) {
        if (target.isUp()) {
            leader.handle(new Event.TargetReachable(target.id()));
        }
    }

    /** Ends all faults, except that a pause of the scheduler lasts as long as it was drawn. */
    void endFaults() {
        targets.endFailures();
        platform.clearLeaving();
        setLogAvailable(true);
        permits.setEnabled(true);
        platform.publishOriginal();
    }
}
