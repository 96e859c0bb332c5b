package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * A deterministic simulation of one data centre: a real decider with fake targets, a fake log and injected faults.
 *
 * <p>All times are virtual, in milliseconds. Every decision is checked against {@link Invariants} and
 * {@link ExternalInvariants}. The same seed and the same calls give the same run. Not thread-safe.
 *
 * <p>This class connects the parts and runs them. {@link SimulatedLeader} makes the decisions, {@link CommandExecutor}
 * executes their commands, and {@link FaultInjector} disturbs the rest.
 */
final class CellSimulation {
    private final VirtualTime time = new VirtualTime();
    private final List<Violation> violations = new ArrayList<>();
    private final FakeLog log = new FakeLog(time);
    private final RandomGenerator random;
    private final SimulatedLeader leader;
    private final FakeTargets targets;
    private final CommandExecutor commands;
    private final FakePlatform platform;
    private final SimulatedClients clients;
    private final FaultInjector faults;
    private boolean stopsAtViolations = true;

    CellSimulation(long seed, Configuration configuration, String dataCentre, Policy policy, Rules rules) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        leader = new SimulatedLeader(new Decider(policy, rules), dataCentre, time, violations, this::execute);
        targets = new FakeTargets(time, random, leader, FakeTargets.create(configuration, dataCentre));
        ExternalInvariants externalInvariants = new ExternalInvariants(targets.byId(), log.answers(), violations);
        FakeNetwork network = new FakeNetwork(time, random, leader);
        commands = new CommandExecutor(time, random, leader, network, log, targets, externalInvariants);
        platform = new FakePlatform(time, random, leader, log, externalInvariants, dataCentre, configuration);
        clients = new SimulatedClients(time, random, leader, log, targets);
        LeaderRecovery recovery = new LeaderRecovery(leader, log, platform, targets);
        PermitRenewal permits = new PermitRenewal(time, leader, log, platform);
        faults = new FaultInjector(time, random, leader, recovery, log, platform, permits, targets, clients);

        leader.handle(new Event.Configured(platform.active()));
        targets.byId().keySet().forEach(id -> leader.handle(new Event.TargetReachable(id)));
        permits.start();
    }

    private void execute(Command command, long senderEpoch) {
        commands.execute(command, senderEpoch);
    }

    /** Makes runs continue after a violation, to measure rule sets that violate invariants. */
    void continueAfterViolations() {
        stopsAtViolations = false;
    }

    /** Makes the log record a second intent for a request, so that only the rules prevent a second run. */
    void acceptDuplicateIntents() {
        log.acceptDuplicateIntents();
    }

    /** Injects faults drawn by {@code weights} until {@code decisions} more are made or a violation is found. */
    void run(long decisions, Map<Fault, Integer> weights) {
        long end = steps() + decisions;
        int total = weights.values().stream().mapToInt(Integer::intValue).sum();
        while (steps() < end && shouldContinue()) {
            faults.injectRandom(weights, total);
            advance(now() + random.nextLong(1, 400));
        }
    }

    /** Ends all faults and runs until all requests are answered, {@code maxMillis} pass or a violation is found. */
    void settle(long maxMillis) {
        faults.endFaults();
        long end = now() + maxMillis;
        while (now() < end && answers().size() < accepted().size() && shouldContinue()) {
            advance(now() + 1_000);
        }
    }

    /** Submits a request whose members run for {@code runMillis} once started, and returns its identifier. */
    String submit(String account, Profile profile, long runMillis) {
        return clients.submit(account, profile, runMillis);
    }

    void setOutOfService(boolean out) {
        platform.setOutOfService(out);
    }

    /** Advances the time to {@code until}, running the actions and timers that fall due. */
    void advance(long until) {
        while (shouldContinue()) {
            long timer = leader.nextTimerAt();
            long next = time.nextActionAt();
            if (Math.min(timer, next) > until) {
                break;
            }
            if (next <= timer) {
                time.runNextAction();
            } else {
                time.advanceTo(timer);
                leader.handle(new Event.Tick());
            }
        }
        time.advanceTo(until);
    }

    private boolean shouldContinue() {
        return !stopsAtViolations || violations.isEmpty();
    }

    List<Violation> violations() {
        return violations;
    }

    long steps() {
        return leader.steps();
    }

    long checks() {
        return leader.checks();
    }

    long now() {
        return time.now();
    }

    CellState state() {
        return leader.state();
    }

    /** Returns how many faults of each kind were injected. */
    Map<Fault, Integer> faults() {
        return faults.counts();
    }

    Map<String, Outcome> answers() {
        return log.answers();
    }

    Map<String, Request> accepted() {
        return log.accepted();
    }

    /** Returns the time from acceptance of {@code request} to its answer in milliseconds, or -1 if not yet answered. */
    long completionMillis(String request) {
        return log.completionMillis(request);
    }

    Map<String, FakeTarget> targets() {
        return targets.byId();
    }

    String digest() {
        return leader.digest();
    }

    Iterable<String> trace() {
        return leader.trace();
    }
}
