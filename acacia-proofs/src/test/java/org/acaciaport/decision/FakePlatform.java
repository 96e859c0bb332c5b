package org.acaciaport.decision;

import com.google.common.collect.ImmutableSortedSet;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Configuration;

/**
 * A fake of what the platform publishes to the data centre: the configuration and the list of leaving targets.
 *
 * <p>Revisions only increase. The leader learns of a publication after a random delay, so it may act on an earlier one.
 * Not thread-safe.
 */
final class FakePlatform {
    private final VirtualTime time;
    private final RandomGenerator random;
    private final SimulatedLeader leader;
    private final FakeLog log;
    private final ExternalInvariants externalInvariants;
    private final String dataCentre;
    private final Configuration original;
    private final Set<String> leavingTargets = new HashSet<>();
    private ActiveConfiguration active; // the latest that was published

    FakePlatform(
            VirtualTime time,
            RandomGenerator random,
            SimulatedLeader leader,
            FakeLog log,
            ExternalInvariants externalInvariants,
            String dataCentre,
            Configuration original) {
        this.time = time;
        this.random = random;
        this.leader = leader;
        this.log = log;
        this.externalInvariants = externalInvariants;
        this.dataCentre = dataCentre;
        this.original = original;
        active = new ActiveConfiguration(1, original, Set.of());
    }

    /** Returns the latest configuration that was published. */
    ActiveConfiguration active() {
        return active;
    }

    /** Returns the configuration that the simulation started with. */
    Configuration original() {
        return original;
    }

    /** Publishes a revision, which reaches the scheduler after a delay if the log is available, or else without. */
    void publish(Configuration configuration, Set<String> out) {
        ActiveConfiguration next = new ActiveConfiguration(active.revision() + 1, configuration, out);
        active = next;
        time.schedule(log.isAvailable() ? random.nextLong(5, 200) : 0, () -> leader.handle(new Event.Configured(next)));
    }

    /** Publishes the original configuration with all data centres in service. */
    void publishOriginal() {
        externalInvariants.setOutOfServiceSince(Long.MAX_VALUE);
        publish(original, Set.of());
    }

    /** Takes the data centre out of service or returns it; has no effect if it is so already. */
    void setOutOfService(boolean out) {
        boolean isOut = active.out().contains(dataCentre);
        if (out == isOut) {
            return;
        }
        externalInvariants.setOutOfServiceSince(out ? time.now() : Long.MAX_VALUE);
        publish(active.configuration(), out ? Set.of(dataCentre) : Set.of());
    }

    /** Adds {@code target} to the list of leaving targets, which reaches the leader after a delay. */
    void startLeaving(String target) {
        leavingTargets.add(target);
        externalInvariants.markLeaving(target, time.now());
        Set<String> listed = leavingTargets();
        time.schedule(random.nextLong(1_000), () -> leader.handle(new Event.LeavingListed(listed)));
    }

    /** Empties the list of leaving targets, of which the leader learns at once. */
    void clearLeaving() {
        leavingTargets.clear();
        externalInvariants.clearLeaving();
        leader.handle(new Event.LeavingListed(Set.of()));
    }

    /** Returns a copy of the list of leaving targets. */
    Set<String> leavingTargets() {
        return ImmutableSortedSet.copyOf(leavingTargets);
    }
}
