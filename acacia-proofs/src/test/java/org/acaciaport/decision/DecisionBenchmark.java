package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Adjacency;
import org.acaciaport.config.ClientAccount;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.DataCentre;
import org.acaciaport.config.Guarantee;
import org.acaciaport.config.Profile;
import org.acaciaport.config.Shape;
import org.acaciaport.config.Target;
import org.acaciaport.config.Treatment;
import org.acaciaport.request.Request;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures time and allocation of single decisions in a data centre that is seven eighths full. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {
    private static final int ACCELERATORS_PER_TARGET = 8;
    private static final int TARGETS_PER_RACK = 8;
    private static final int ACCOUNT_COUNT = 4;
    private static final long QUEUE_AND_RUN_LIMIT_MILLIS = 86_400_000;

    /** Longer than the ramp-up that limits the rate of starts after a data centre comes into service. */
    private static final long AFTER_RAMP_UP_MILLIS = 60_000;

    @Param({"30", "1600", "16000"})
    int targets;

    private final Decider decider = Decider.of(Policy.STANDARD);
    private final Profile single = profile("single", 1, 1, Adjacency.SAME_TARGET);
    private final Profile gang = profile("gang", 1, 4, Adjacency.SAME_RACK);
    private final Profile large = profile("large", 8, 8, Adjacency.SAME_RACK);
    private CellState state;
    private long now = 1_000_000;
    private long submittedCount;

    /** Starts single-member requests on seven eighths of the accelerators. */
    @Setup
    public void fill() {
        state = CellState.initial("dc", 1);
        apply(new Event.Configured(new ActiveConfiguration(1, configuration(), Set.of())));
        for (int i = 0; i < targets; i++) {
            apply(new Event.TargetReachable("t" + i));
        }
        now += AFTER_RAMP_UP_MILLIS;
        apply(new Event.PermitRenewed(Long.MAX_VALUE / 2));
        for (int i = 0; i < targets * (ACCELERATORS_PER_TARGET - 1); i++) {
            submitAndStart(single);
        }
    }

    private Configuration configuration() {
        List<Target> targetList = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            targetList.add(new Target(
                    "t" + i,
                    "dc",
                    "r" + i / TARGETS_PER_RACK,
                    "http://127.0.0.1:1",
                    32,
                    65_536,
                    ACCELERATORS_PER_TARGET,
                    8,
                    64));
        }
        List<ClientAccount> accounts = new ArrayList<>();
        for (int i = 0; i < ACCOUNT_COUNT; i++) {
            accounts.add(new ClientAccount("a" + i));
        }
        Guarantee guarantee = new Guarantee("dc", new Shape(4, 2, Adjacency.SAME_RACK));
        return new Configuration(
                List.of(new DataCentre("dc")), targetList, accounts, List.of(guarantee), List.of(single, gang, large));
    }

    private static Profile profile(String name, int accelerators, int members, Adjacency adjacency) {
        return new Profile(
                name,
                new Shape(accelerators, members, adjacency),
                1,
                1_024,
                10,
                true,
                true,
                List.of(Treatment.STOP),
                List.of(),
                QUEUE_AND_RUN_LIMIT_MILLIS,
                QUEUE_AND_RUN_LIMIT_MILLIS);
    }

    private Decision apply(Event event) {
        Decision decision = decider.decide(state, event, now);
        state = decision.state();
        return decision;
    }

    private Decision submit(Profile profile) {
        String id = "r" + ++submittedCount;
        String account = "a" + submittedCount % ACCOUNT_COUNT;
        return apply(new Event.Submitted(
                new Request(id, account, id, profile, "", now, now + QUEUE_AND_RUN_LIMIT_MILLIS), false));
    }

    private String submitAndStart(Profile profile) {
        submit(profile);
        String id = "r" + submittedCount;
        Job job = state.workload().jobs().get(id);
        if (job.phase() instanceof Phase.Running running) {
            apply(new Event.MemberChanged(
                    id, running.attempt().number(), 0, MemberState.of(MemberState.Status.RUNNING)));
        }
        return id;
    }

    /** Places a single-member request and ends it, which takes two decisions. */
    @Benchmark
    public Object placeAndEndSingle() {
        submit(single);
        String id = "r" + submittedCount;
        Phase.Running running = (Phase.Running) state.workload().jobs().get(id).phase();
        return apply(new Event.MemberChanged(
                id, running.attempt().number(), 0, new MemberState(MemberState.Status.ENDED, "")));
    }

    /** Places a gang of four in one rack up to its reservations and cancels it, which takes two decisions. */
    @Benchmark
    public Object placeAndCancelGang() {
        submit(gang);
        return apply(new Event.CancelAsked("r" + submittedCount));
    }

    /** Queues a large job for which no place is free and cancels it, which takes two decisions. */
    @Benchmark
    public Object queueAndCancelLarge() {
        submit(large);
        return apply(new Event.CancelAsked("r" + submittedCount));
    }
}
