package org.acaciaport.decision;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.acaciaport.config.Target;
import org.acaciaport.config.Treatment;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * Drives the decisions of one data centre in virtual time, with fakes for its targets and the log, and checks every
 * decision. The same seed gives the same run.
 */
final class CellDriver {
    private static final long PERMIT_MILLIS = 3_000;
    private static final long PERMIT_PERIOD_MILLIS = 500;
    private static final long AUDIT_EVERY = 256;
    private static final long HOLD_MILLIS = 2_000;
    private static final int TRACE_LINES = 80;

    /** Something that happens later. */
    private record Scheduled(long at, long order, Runnable action) {}

    private final RandomGenerator random;
    private final Decider decider;
    private final String dataCentre;
    private final Map<String, FakeTarget> targets = new TreeMap<>();
    private final PriorityQueue<Scheduled> agenda =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::order));
    private final Map<String, Request> accepted = new LinkedHashMap<>();
    private final Map<String, Outcome> answers = new LinkedHashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private final Map<String, Attempt> intents = new HashMap<>();
    private final Map<String, Long> lastArrival = new HashMap<>();
    private final Set<String> saved = new HashSet<>();
    private final ArrayDeque<Runnable> pendingRecords = new ArrayDeque<>();
    private final Set<String> bad = new HashSet<>();
    private final List<Violation> violations = new ArrayList<>();
    private final EnumMap<Fault, Integer> faults = new EnumMap<>(Fault.class);
    private final ArrayDeque<String> trace = new ArrayDeque<>();
    private final Hasher digest = Hashing.sha256().newHasher();

    private final OutsideChecks outside = new OutsideChecks(targets, answers, violations);
    private Invariants invariants;
    private CellState state;
    private ActiveConfiguration active;
    private final Configuration original;
    private long epoch = 1;
    private long now = 1_000_000;
    private long order;
    private long steps;
    private long checks;
    private long pausedUntil;
    private long requests;
    private boolean stopsAtViolation = true;
    private boolean logArbitrates = true;
    private boolean logUp = true;
    private boolean permits = true;
    private final Set<String> leaving = new HashSet<>();

    CellDriver(long seed, Configuration configuration, String dataCentre, Policy policy, Rules rules) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        decider = new Decider(policy, rules);
        this.dataCentre = dataCentre;
        original = configuration;
        active = new ActiveConfiguration(1, configuration, Set.of());
        for (Target target : configuration.targetsOf(dataCentre)) {
            targets.put(target.id(), new FakeTarget(target));
        }
        invariants = new Invariants(policy);
        state = CellState.initial(dataCentre, epoch);
        event(new Event.Configured(active));
        targets.keySet().forEach(id -> event(new Event.TargetReachable(id)));
        renewPermits();
    }

    // Queries.

    List<Violation> violations() {
        return violations;
    }

    long steps() {
        return steps;
    }

    long checks() {
        return checks + invariants.checkCount();
    }

    long now() {
        return now;
    }

    CellState state() {
        return state;
    }

    Map<Fault, Integer> faults() {
        return faults;
    }

    Map<String, Outcome> answers() {
        return answers;
    }

    Map<String, Request> accepted() {
        return accepted;
    }

    /** Returns how long the request waited for its answer, in milliseconds, or -1. */
    long completion(String request) {
        return answeredAt.containsKey(request)
                ? answeredAt.get(request) - accepted.get(request).acceptedAt()
                : -1;
    }

    Map<String, FakeTarget> targets() {
        return targets;
    }

    String digest() {
        return digest.hash().toString();
    }

    Iterable<String> trace() {
        return trace;
    }

    // Commands.

    /** Goes on after a violation, to measure policies that break promises. */
    void goOnAfterViolations() {
        stopsAtViolation = false;
    }

    private boolean goesOn() {
        return !stopsAtViolation || violations.isEmpty();
    }

    /** Makes the log take every intent, also a second one for a request. */
    void letLogTakeAnything() {
        logArbitrates = false;
    }

    /** Runs until {@code wanted} more decisions are made or a violation is found. */
    void run(long wanted, Map<Fault, Integer> weights) {
        long end = steps + wanted;
        int total = weights.values().stream().mapToInt(Integer::intValue).sum();
        while (steps < end && goesOn()) {
            act(weights, total);
            advance(now + random.nextLong(1, 400));
        }
    }

    /** Ends all faults and runs until every request is answered or {@code millis} have passed. */
    void settle(long millis) {
        targets.values().forEach(t -> {
            t.setFailsAll(false);
            t.setIgnoresTreatments(false);
            if (!t.up()) {
                restart(t);
            }
        });
        bad.clear();
        leaving.clear();
        outside.noneLeaves();
        event(new Event.LeavingListed(Set.of()));
        setLog(true);
        permits = true;
        outside.takenOut(Long.MAX_VALUE);
        configure(new ActiveConfiguration(active.revision() + 1, original, Set.of()));
        long end = now + millis;
        while (now < end && answers.size() < accepted.size() && goesOn()) {
            advance(now + 1_000);
        }
    }

    /** Submits one request of {@code profile} that truly runs for {@code runMillis}. */
    String submit(String account, Profile profile, long runMillis) {
        String id = "r" + ++requests;
        Request request = new Request(
                id, account, "k" + requests, profile, Long.toString(runMillis), now, now + profile.queueLimitMillis());
        accepted.put(id, request);
        event(new Event.Submitted(request, false));
        return id;
    }

    /** Passes time until {@code until}, with everything that happens meanwhile. */
    void advance(long until) {
        while (goesOn()) {
            long timer = Math.max(state.nextTimerAt().orElse(Long.MAX_VALUE), pausedUntil);
            long next = agenda.isEmpty() ? Long.MAX_VALUE : agenda.peek().at();
            if (Math.min(timer, next) > until) {
                break;
            }
            if (next <= timer) {
                Scheduled scheduled = agenda.poll();
                now = Math.max(now, scheduled.at());
                scheduled.action().run();
            } else {
                now = Math.max(now, timer);
                event(new Event.Tick());
            }
        }
        now = Math.max(now, until);
    }

    void later(long millis, Runnable action) {
        agenda.add(new Scheduled(now + millis, order++, action));
    }

    void takeOut(boolean out) {
        boolean isOut = active.out().contains(dataCentre);
        if (out == isOut) {
            return;
        }
        outside.takenOut(out ? now : Long.MAX_VALUE);
        configure(new ActiveConfiguration(
                active.revision() + 1, active.configuration(), out ? Set.of(dataCentre) : Set.of()));
    }

    void crash(FakeTarget target) {
        if (!target.up()) {
            return;
        }
        target.crash();
        int incarnation = target.incarnation();
        later(1_000 + random.nextLong(5_000), () -> {
            if (!target.up() && target.incarnation() == incarnation) {
                event(new Event.TargetLost(target.id()));
            }
        });
        later(8_000 + random.nextLong(20_000), () -> restart(target));
    }

    private void restart(FakeTarget target) {
        if (target.up()) {
            return;
        }
        target.restart();
        target.rules(epoch);
        event(new Event.TargetLost(target.id()));
        event(new Event.TargetReachable(target.id()));
    }

    private void setLog(boolean up) {
        if (logUp != up) {
            logUp = up;
            flushLog();
            event(new Event.LogChanged(up));
        }
    }

    /** Gives a later revision to the scheduler; an unreachable log delays it. */
    private void configure(ActiveConfiguration next) {
        active = next;
        later(logUp ? random.nextLong(5, 200) : 0, () -> event(new Event.Configured(next)));
    }

    private void act(Map<Fault, Integer> weights, int total) {
        int draw = random.nextInt(total);
        for (Fault fault : Fault.values()) {
            draw -= weights.getOrDefault(fault, 0);
            if (draw < 0) {
                faults.merge(fault, 1, Integer::sum);
                inject(fault);
                return;
            }
        }
    }

    private void inject(Fault fault) {
        switch (fault) {
            case SUBMIT -> submitAny();
            case BURST -> {
                for (int i = 0; i < 100; i++) {
                    submitAny();
                }
            }
            case CANCEL -> cancelAny();
            case CANCEL_WAVE ->
                state.workload().jobs().keySet().stream()
                        .sorted()
                        .toList()
                        .forEach(id -> event(new Event.CancelAsked(id)));
            case TARGET_FAILS_ALL -> anyTarget().setFailsAll(true);
            case TARGET_HEALS ->
                targets.values().forEach(t -> {
                    t.setFailsAll(false);
                    t.setIgnoresTreatments(false);
                });
            case TARGET_IGNORES_TREATMENTS -> anyTarget().setIgnoresTreatments(true);
            case TARGET_CRASHES -> crash(anyTarget());
            case RACK_LOST -> {
                String rack = anyTarget().target().rack();
                targets.values().stream()
                        .filter(t -> t.target().rack().equals(rack))
                        .forEach(this::crash);
            }
            case TARGET_LEAVES -> leave(anyTarget().id());
            case TARGET_STAYS -> {
                leaving.clear();
                outside.noneLeaves();
                event(new Event.LeavingListed(Set.of()));
            }
            case DATA_CENTRE_OUT -> takeOut(true);
            case DATA_CENTRE_IN -> takeOut(false);
            case LOG_DOWN -> setLog(false);
            case LOG_UP -> setLog(true);
            case PERMITS_STOP -> permits = false;
            case PERMITS_GO_ON -> permits = true;
            case STALE_CONFIGURATION ->
                event(new Event.Configured(
                        new ActiveConfiguration(random.nextLong(state.active().revision() + 1), original, Set.of())));
            case CONFIGURATION_CHANGED -> changeConfiguration();
            case SCHEDULER_PAUSED -> pausedUntil = now + random.nextLong(500, 8_000);
            case SCHEDULER_REPLACED -> replaceScheduler();
        }
    }

    private void submitAny() {
        List<Profile> profiles = active.configuration().profiles();
        Profile profile = profiles.get(random.nextInt(profiles.size()));
        boolean skewed = random.nextInt(3) > 0;
        int accounts = active.configuration().accounts().size();
        String account = active.configuration()
                .accounts()
                .get(skewed ? 0 : random.nextInt(accounts))
                .name();
        long typical = Math.min(profile.runLimitMillis(), 20_000);
        long run = random.nextInt(20) == 0 ? profile.runLimitMillis() * 3 : random.nextLong(50, typical);
        String id = submit(account, profile, run);
        if (random.nextInt(25) == 0) {
            bad.add(id);
        }
    }

    private void cancelAny() {
        List<String> unfinished =
                state.workload().jobs().keySet().stream().sorted().toList();
        if (!unfinished.isEmpty()) {
            event(new Event.CancelAsked(unfinished.get(random.nextInt(unfinished.size()))));
        }
    }

    private void leave(String id) {
        leaving.add(id);
        outside.leaves(id, now);
        Set<String> listed = ImmutableSortedSet.copyOf(leaving);
        later(random.nextLong(1_000), () -> event(new Event.LeavingListed(listed)));
    }

    private void changeConfiguration() {
        List<Profile> profiles = new ArrayList<>(original.profiles());
        profiles.remove(random.nextInt(profiles.size()));
        List<Target> fewer = new ArrayList<>(original.targets());
        if (random.nextBoolean()) {
            fewer.removeIf(t -> t.id().equals(anyTarget().id()));
        }
        Configuration next =
                new Configuration(original.dataCentres(), fewer, original.accounts(), original.guarantees(), profiles);
        configure(new ActiveConfiguration(active.revision() + 1, next, active.out()));
        for (Target target : fewer) {
            FakeTarget fake = targets.get(target.id());
            if (fake != null && fake.up()) {
                later(500, () -> {
                    if (fake.up()) {
                        event(new Event.TargetReachable(fake.id()));
                    }
                });
            }
        }
    }

    private FakeTarget anyTarget() {
        List<FakeTarget> all = List.copyOf(targets.values());
        return all.get(random.nextInt(all.size()));
    }

    /** A new leader knows what the log says and what the targets report, and nothing else. */
    private void replaceScheduler() {
        epoch++;
        pausedUntil = now;
        pendingRecords.clear();
        checks += invariants.checkCount();
        invariants = new Invariants(decider.policy());
        state = CellState.initial(dataCentre, epoch);
        event(new Event.Configured(active));
        event(new Event.LogChanged(logUp));
        event(new Event.LeavingListed(ImmutableSortedSet.copyOf(leaving)));
        for (Request request : List.copyOf(accepted.values())) {
            if (!answers.containsKey(request.id())) {
                event(new Event.Recovered(
                        request, Optional.ofNullable(intents.get(request.id())), saved.contains(request.id())));
            }
        }
        for (FakeTarget target : targets.values()) {
            target.rules(epoch);
            for (String key : target.running()) {
                String[] parts = key.split("#");
                Job job = state.workload().jobs().get(parts[0]);
                boolean follows = job != null
                        && job.phase() instanceof Phase.Running running
                        && running.attempt().number() == Long.parseLong(parts[1]);
                if (follows) {
                    event(new Event.MemberChanged(
                            parts[0],
                            Long.parseLong(parts[1]),
                            Integer.parseInt(parts[2]),
                            MemberState.of(MemberState.Status.RUNNING)));
                } else {
                    target.end(key);
                }
            }
            if (target.up()) {
                event(new Event.TargetReachable(target.id()));
            }
        }
    }

    private void renewPermits() {
        long until = now + PERMIT_MILLIS;
        boolean applied = state.active().revision() >= active.revision();
        if (permits && logUp && applied && now >= pausedUntil) {
            event(new Event.LeavingListed(ImmutableSortedSet.copyOf(leaving)));
            event(new Event.PermitRenewed(until));
        }
        later(PERMIT_PERIOD_MILLIS, this::renewPermits);
    }

    /** Decides on an event now, or once the scheduler goes on if it is paused. */
    void event(Event event) {
        if (now < pausedUntil) {
            long by = epoch;
            agenda.add(new Scheduled(pausedUntil, order++, () -> {
                if (by == epoch) {
                    event(event);
                }
            }));
            return;
        }
        CellState before = state;
        Decision decision = decider.decide(before, event, now);
        steps++;
        violations.addAll(invariants.check(before, event, decision, now));
        state = decision.state();
        record(event, decision);
        if (steps % AUDIT_EVERY == 0) {
            violations.addAll(invariants.audit(state, now));
        }
        decision.commands().forEach(command -> carryOut(command, epoch));
    }

    private void record(Event event, Decision decision) {
        String line = now + " " + event + " -> " + decision.notes() + " " + decision.commands();
        digest.putString(line, StandardCharsets.UTF_8);
        trace.add(line.length() > 600 ? line.substring(0, 600) : line);
        if (trace.size() > TRACE_LINES) {
            trace.removeFirst();
        }
    }

    private long delay() {
        return random.nextInt(50) == 0 ? random.nextLong(200, 3_500) : random.nextLong(1, 8);
    }

    /** Commands reach a target in order, except for a few that are repeated after a time-out. */
    private void send(Member member, Runnable command) {
        long arrival = now + delay();
        if (random.nextInt(100) > 0) {
            arrival = Math.max(arrival, lastArrival.getOrDefault(member.target(), 0L));
            lastArrival.put(member.target(), arrival);
        }
        later(arrival - now, command);
    }

    private void carryOut(Command command, long by) {
        switch (command) {
            case Command.Reserve reserve -> later(delay(), () -> reserve(reserve, by));
            case Command.Release release ->
                later(delay(), () -> {
                    FakeTarget target = targets.get(release.member().target());
                    if (target.rules(by)) {
                        target.release(FakeTarget.key(
                                release.request(),
                                release.attempt(),
                                release.member().index()));
                    }
                });
            case Command.Start start -> {
                int incarnation = targets.get(start.member().target()).incarnation();
                send(start.member(), () -> start(start, by, incarnation));
            }
            case Command.Treat treat -> {
                int incarnation = targets.get(treat.member().target()).incarnation();
                send(treat.member(), () -> treat(treat, by, incarnation));
            }
            case Command.Resume resume -> send(resume.member(), () -> resume(resume, by));
            case Command.RecordIntent intent -> append(() -> recordIntent(intent, by));
            case Command.RecordVoid recordVoid -> append(() -> recordVoid(recordVoid));
            case Command.Answer answer -> answer(answer);
            case Command.HandOver handOver -> later(delay(), () -> handOver(handOver, by));
        }
    }

    private void report(long by, Event event) {
        int copies = random.nextInt(30) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            later(delay(), () -> {
                if (by == epoch) {
                    event(event);
                }
            });
        }
    }

    private void reserve(Command.Reserve reserve, long by) {
        FakeTarget target = targets.get(reserve.member().target());
        String key = FakeTarget.key(
                reserve.request(), reserve.attempt(), reserve.member().index());
        boolean granted = target.rules(by)
                && target.reserve(key, reserve.member().units(), now, reserve.deadline() + HOLD_MILLIS);
        report(
                by,
                new Event.ReserveAnswered(
                        reserve.request(), reserve.attempt(), reserve.member().index(), granted));
    }

    private void start(Command.Start start, long by, int incarnation) {
        FakeTarget target = targets.get(start.member().target());
        if (!target.rules(by) || target.incarnation() != incarnation) {
            return;
        }
        outside.startArrived(start, target.id(), now);
        if (!target.start(start, now)) {
            member(start, by, MemberState.Status.NOT_STARTED, "");
            return;
        }
        outside.started(start);
        member(start, by, MemberState.Status.RUNNING, "");
        long run = Long.parseLong(start.request().payload());
        boolean fails = target.failsAll() || bad.contains(start.request().id());
        long ends = fails ? Math.min(run, 50) : run;
        later(ends, () -> finish(start, target, fails));
    }

    private void finish(Command.Start start, FakeTarget target, boolean fails) {
        String key = FakeTarget.key(
                start.request().id(), start.attempt().number(), start.member().index());
        if (target.up() && target.end(key)) {
            MemberState.Status status = fails ? MemberState.Status.FAILED : MemberState.Status.ENDED;
            member(start, epoch, status, "output of " + start.request().id());
        }
    }

    private void member(Command.Start start, long by, MemberState.Status status, String output) {
        report(
                by,
                new Event.MemberChanged(
                        start.request().id(),
                        start.attempt().number(),
                        start.member().index(),
                        new MemberState(status, output)));
    }

    private void treat(Command.Treat treat, long by, int incarnation) {
        FakeTarget target = targets.get(treat.member().target());
        if (!target.rules(by) || target.incarnation() != incarnation) {
            return;
        }
        if (target.ignoresTreatments() && treat.treatment() != Treatment.STOP) {
            return;
        }
        String key =
                FakeTarget.key(treat.request(), treat.attempt(), treat.member().index());
        if (target.refuse(key)) {
            report(
                    by,
                    new Event.MemberChanged(
                            treat.request(),
                            treat.attempt(),
                            treat.member().index(),
                            MemberState.of(MemberState.Status.NOT_STARTED)));
            return;
        }
        long takes = treat.treatment() == Treatment.CHECKPOINT ? random.nextLong(20, 2_500) : random.nextLong(5, 100);
        later(takes, () -> {
            if (target.up() && target.end(key)) {
                report(
                        by,
                        new Event.MemberChanged(
                                treat.request(),
                                treat.attempt(),
                                treat.member().index(),
                                MemberState.of(after(treat))));
            }
        });
    }

    private static MemberState.Status after(Command.Treat treat) {
        return switch (treat.treatment()) {
            case CHECKPOINT -> MemberState.Status.CHECKPOINTED;
            case THROTTLE -> MemberState.Status.THROTTLED;
            case STOP -> MemberState.Status.STOPPED;
        };
    }

    private void resume(Command.Resume resume, long by) {
        FakeTarget target = targets.get(resume.member().target());
        if (!target.rules(by)) {
            return;
        }
        String key = FakeTarget.key(
                resume.request(), resume.attempt(), resume.member().index());
        target.resume(key, resume.member().units());
        later(random.nextLong(50, 5_000), () -> {
            if (target.up() && target.end(key)) {
                report(
                        epoch,
                        new Event.MemberChanged(
                                resume.request(),
                                resume.attempt(),
                                resume.member().index(),
                                new MemberState(MemberState.Status.ENDED, "output of " + resume.request())));
            }
        });
    }

    /** Records reach the log in order, at once or when it is up again. */
    private void append(Runnable record) {
        pendingRecords.add(record);
        flushLog();
    }

    private void flushLog() {
        while (logUp && !pendingRecords.isEmpty()) {
            pendingRecords.poll().run();
        }
    }

    private void recordVoid(Command.RecordVoid recordVoid) {
        Attempt intent = intents.get(recordVoid.request());
        if (intent != null && intent.number() == recordVoid.attempt()) {
            intents.remove(recordVoid.request());
            if (recordVoid.checkpointed()) {
                saved.add(recordVoid.request());
            }
        }
    }

    private void recordIntent(Command.RecordIntent intent, long by) {
        String id = intent.request().id();
        boolean free = !answers.containsKey(id) && !intents.containsKey(id);
        boolean recorded = by == epoch && (free || !logArbitrates);
        if (recorded) {
            intents.put(id, intent.attempt());
        }
        report(by, new Event.IntentAnswered(id, intent.attempt().number(), recorded));
    }

    private void handOver(Command.HandOver handOver, long by) {
        boolean recorded = logUp && by == epoch && random.nextInt(4) > 0;
        if (recorded) {
            answers.put(handOver.request().id(), new Outcome.NotRun("handed over"));
            answeredAt.put(handOver.request().id(), now);
        }
        if (by == epoch) {
            event(new Event.HandOverAnswered(handOver.request().id(), recorded));
        }
    }

    private void answer(Command.Answer answer) {
        outside.answered(answer);
        answers.putIfAbsent(answer.request().id(), answer.outcome());
        answeredAt.put(answer.request().id(), now);
    }
}
