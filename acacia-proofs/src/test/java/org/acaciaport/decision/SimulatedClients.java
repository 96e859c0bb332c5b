package org.acaciaport.decision;

import java.util.List;
import java.util.random.RandomGenerator;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.acaciaport.request.Request;

/**
 * The clients of the simulated data centre, which submit and cancel requests.
 *
 * <p>Each request has an identifier and a key of its own; its payload is the run time of its members in milliseconds.
 * Not thread-safe.
 */
final class SimulatedClients {
    private final VirtualTime time;
    private final RandomGenerator random;
    private final SimulatedLeader leader;
    private final FakeLog log;
    private final FakeTargets targets;
    private long submitted;

    SimulatedClients(
            VirtualTime time, RandomGenerator random, SimulatedLeader leader, FakeLog log, FakeTargets targets) {
        this.time = time;
        this.random = random;
        this.leader = leader;
        this.log = log;
        this.targets = targets;
    }

    /** Submits a request whose members run for {@code runMillis} once started, and returns its identifier. */
    String submit(String account, Profile profile, long runMillis) {
        String id = "r" + ++submitted;
        long now = time.now();
        Request request = new Request(
                id, account, "k" + submitted, profile, Long.toString(runMillis), now, now + profile.queueLimitMillis());
        log.recordAccepted(request);
        leader.handle(new Event.Submitted(request, false));
        return id;
    }

    /** Submits a random request, mostly of the first account; 1 in 20 exceeds its run limit, and 1 in 25 fails. */
    void submitRandom(Configuration configuration) {
        List<Profile> profiles = configuration.profiles();
        Profile profile = profiles.get(random.nextInt(profiles.size()));
        boolean useFirstAccount = random.nextInt(3) > 0;
        int accountCount = configuration.accounts().size();
        String account = configuration
                .accounts()
                .get(useFirstAccount ? 0 : random.nextInt(accountCount))
                .name();
        long maxTypicalMillis = Math.min(profile.runLimitMillis(), 20_000);
        long runMillis = random.nextInt(20) == 0 ? profile.runLimitMillis() * 3 : random.nextLong(50, maxTypicalMillis);
        String id = submit(account, profile, runMillis);
        if (random.nextInt(25) == 0) {
            targets.failRequest(id);
        }
    }

    /** Cancels a random unfinished request, if there is one. */
    void cancelRandom() {
        List<String> unfinished = unfinished();
        if (!unfinished.isEmpty()) {
            leader.handle(new Event.CancelAsked(unfinished.get(random.nextInt(unfinished.size()))));
        }
    }

    /** Cancels all unfinished requests. */
    void cancelAll() {
        unfinished().forEach(id -> leader.handle(new Event.CancelAsked(id)));
    }

    private List<String> unfinished() {
        return leader.state().workload().jobs().keySet().stream().sorted().toList();
    }
}
