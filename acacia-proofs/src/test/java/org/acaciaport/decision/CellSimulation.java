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
 * A deterministic simulation of one data centre: a real decider with fake targets, a fake log and injected faults.
 *
 * <p>All times are virtual, in milliseconds. Every decision is checked against {@link Invariants} and
 * {@link ExternalInvariants}. The same seed and the same calls give the same run. Not thread-safe.
 */
final class CellSimulation {
    private static final long PERMIT_DURATION_MILLIS = 3_000;
    private static final long PERMIT_RENEWAL_INTERVAL_MILLIS = 500;
    private static final long AUDIT_INTERVAL_STEPS = 256;
    private static final long RESERVATION_HOLD_MILLIS = 2_000; // beyond the deadline of the answer
    private static final int TRACE_LINES = 80;

    /** An action due at time {@code at}; {@code sequence} orders actions that are due at the same time. */
    private record ScheduledAction(long at, long sequence, Runnable action) {}

    private final RandomGenerator random;
    private final Decider decider;
    private final String dataCentre;
    private final Map<String, FakeTarget> targets = new TreeMap<>();
    private final PriorityQueue<ScheduledAction> actions = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::at).thenComparingLong(ScheduledAction::sequence));
    private final Map<String, Request> accepted = new LinkedHashMap<>();
    private final Map<String, Outcome> answers = new LinkedHashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private final Map<String, Attempt> intents = new HashMap<>(); // recorded on the log and not voided
    private final Map<String, Long> lastArrivalByTarget = new HashMap<>();
    private final Set<String> checkpointed = new HashSet<>();
    private final ArrayDeque<Runnable> pendingRecords = new ArrayDeque<>();
    private final Set<String> failing = new HashSet<>(); // requests that fail on any target
    private final List<Violation> violations = new ArrayList<>();
    private final EnumMap<Fault, Integer> faults = new EnumMap<>(Fault.class);
    private final ArrayDeque<String> trace = new ArrayDeque<>();
    private final Hasher digest = Hashing.sha256().newHasher();
    private final ExternalInvariants externalInvariants = new ExternalInvariants(targets, answers, violations);
    private Invariants invariants;
    private CellState state;
    private ActiveConfiguration active; // the latest that was published
    private final Configuration original;
    private long epoch = 1;
    private long now = 1_000_000;
    private long nextSequence;
    private long steps;
    private long earlierChecks; // by the invariants of earlier leaders
    private long pausedUntil;
    private long submitted;
    private boolean stopsAtViolations = true;
    private boolean logRejectsDuplicateIntents = true;
    private boolean logAvailable = true;
    private boolean renewsPermits = true;
    private final Set<String> leavingTargets = new HashSet<>();

    CellSimulation(long seed, Configuration configuration, String dataCentre, Policy policy, Rules rules) {
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
        handle(new Event.Configured(active));
        targets.keySet().forEach(id -> handle(new Event.TargetReachable(id)));
        renewPermits();
    }

    List<Violation> violations() {
        return violations;
    }

    long steps() {
        return steps;
    }

    long checks() {
        return earlierChecks + invariants.checkCount();
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

    /** Returns the time from acceptance of {@code request} to its answer in milliseconds, or -1 if not yet answered. */
    long completionMillis(String request) {
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

    /** Makes runs continue after a violation, to measure rule sets that violate invariants. */
    void continueAfterViolations() {
        stopsAtViolations = false;
    }

    private boolean shouldContinue() {
        return !stopsAtViolations || violations.isEmpty();
    }

    /** Makes the log record a second intent for a request, so that only the rules prevent a second run. */
    void acceptDuplicateIntents() {
        logRejectsDuplicateIntents = false;
    }

    /** Injects faults drawn by {@code weights} until {@code decisions} more are made or a violation is found. */
    void run(long decisions, Map<Fault, Integer> weights) {
        long end = steps + decisions;
        int total = weights.values().stream().mapToInt(Integer::intValue).sum();
        while (steps < end && shouldContinue()) {
            injectRandomFault(weights, total);
            advance(now + random.nextLong(1, 400));
        }
    }

    /** Ends all faults and runs until all requests are answered, {@code maxMillis} pass or a violation is found. */
    void settle(long maxMillis) {
        targets.values().forEach(t -> {
            t.setFailsAll(false);
            t.setIgnoresTreatments(false);
            if (!t.isUp()) {
                restart(t);
            }
        });
        failing.clear();
        leavingTargets.clear();
        externalInvariants.clearLeaving();
        handle(new Event.LeavingListed(Set.of()));
        setLogAvailable(true);
        renewsPermits = true;
        externalInvariants.setOutOfServiceSince(Long.MAX_VALUE);
        publishConfiguration(new ActiveConfiguration(active.revision() + 1, original, Set.of()));
        long end = now + maxMillis;
        while (now < end && answers.size() < accepted.size() && shouldContinue()) {
            advance(now + 1_000);
        }
    }

    /** Submits a request whose members run for {@code runMillis} once started, and returns its identifier. */
    String submit(String account, Profile profile, long runMillis) {
        String id = "r" + ++submitted;
        Request request = new Request(
                id, account, "k" + submitted, profile, Long.toString(runMillis), now, now + profile.queueLimitMillis());
        accepted.put(id, request);
        handle(new Event.Submitted(request, false));
        return id;
    }

    /** Advances the time to {@code until}, running the actions and timers that fall due. */
    void advance(long until) {
        while (shouldContinue()) {
            long timer = Math.max(state.nextTimerAt().orElse(Long.MAX_VALUE), pausedUntil);
            long next = actions.isEmpty() ? Long.MAX_VALUE : actions.peek().at();
            if (Math.min(timer, next) > until) {
                break;
            }
            if (next <= timer) {
                ScheduledAction scheduled = actions.poll();
                now = Math.max(now, scheduled.at());
                scheduled.action().run();
            } else {
                now = Math.max(now, timer);
                handle(new Event.Tick());
            }
        }
        now = Math.max(now, until);
    }

    void schedule(long delayMillis, Runnable action) {
        actions.add(new ScheduledAction(now + delayMillis, nextSequence++, action));
    }

    void setOutOfService(boolean out) {
        boolean isOut = active.out().contains(dataCentre);
        if (out == isOut) {
            return;
        }
        externalInvariants.setOutOfServiceSince(out ? now : Long.MAX_VALUE);
        publishConfiguration(new ActiveConfiguration(
                active.revision() + 1, active.configuration(), out ? Set.of(dataCentre) : Set.of()));
    }

    void crash(FakeTarget target) {
        if (!target.isUp()) {
            return;
        }
        target.crash();
        int incarnation = target.incarnation();
        schedule(1_000 + random.nextLong(5_000), () -> {
            if (!target.isUp() && target.incarnation() == incarnation) {
                handle(new Event.TargetLost(target.id()));
            }
        });
        schedule(8_000 + random.nextLong(20_000), () -> restart(target));
    }

    private void restart(FakeTarget target) {
        if (target.isUp()) {
            return;
        }
        target.restart();
        target.acceptEpoch(epoch);
        handle(new Event.TargetLost(target.id()));
        handle(new Event.TargetReachable(target.id()));
    }

    private void setLogAvailable(boolean available) {
        if (logAvailable != available) {
            logAvailable = available;
            flushLog();
            handle(new Event.LogChanged(available));
        }
    }

    /** Publishes a revision, which reaches the scheduler after a delay if the log is available, or else without. */
    private void publishConfiguration(ActiveConfiguration next) {
        active = next;
        schedule(logAvailable ? random.nextLong(5, 200) : 0, () -> handle(new Event.Configured(next)));
    }

    private void injectRandomFault(Map<Fault, Integer> weights, int total) {
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
            case SUBMIT -> submitRandom();
            case BURST -> {
                for (int i = 0; i < 100; i++) {
                    submitRandom();
                }
            }
            case CANCEL -> cancelRandom();
            case CANCEL_WAVE ->
                state.workload().jobs().keySet().stream()
                        .sorted()
                        .toList()
                        .forEach(id -> handle(new Event.CancelAsked(id)));
            case TARGET_FAILS_ALL -> randomTarget().setFailsAll(true);
            case TARGET_HEALS ->
                targets.values().forEach(t -> {
                    t.setFailsAll(false);
                    t.setIgnoresTreatments(false);
                });
            case TARGET_IGNORES_TREATMENTS -> randomTarget().setIgnoresTreatments(true);
            case TARGET_CRASHES -> crash(randomTarget());
            case RACK_LOST -> {
                String rack = randomTarget().target().rack();
                targets.values().stream()
                        .filter(t -> t.target().rack().equals(rack))
                        .forEach(this::crash);
            }
            case TARGET_LEAVES -> startLeaving(randomTarget().id());
            case TARGET_STAYS -> {
                leavingTargets.clear();
                externalInvariants.clearLeaving();
                handle(new Event.LeavingListed(Set.of()));
            }
            case DATA_CENTRE_OUT -> setOutOfService(true);
            case DATA_CENTRE_IN -> setOutOfService(false);
            case LOG_DOWN -> setLogAvailable(false);
            case LOG_UP -> setLogAvailable(true);
            case PERMITS_STOP -> renewsPermits = false;
            case PERMITS_GO_ON -> renewsPermits = true;
            case STALE_CONFIGURATION ->
                handle(new Event.Configured(
                        new ActiveConfiguration(random.nextLong(state.active().revision() + 1), original, Set.of())));
            case CONFIGURATION_CHANGED -> changeConfiguration();
            case SCHEDULER_PAUSED -> pausedUntil = now + random.nextLong(500, 8_000);
            case SCHEDULER_REPLACED -> replaceScheduler();
        }
    }

    /** Submits a random request, mostly of the first account; 1 in 20 exceeds its run limit, and 1 in 25 fails. */
    private void submitRandom() {
        List<Profile> profiles = active.configuration().profiles();
        Profile profile = profiles.get(random.nextInt(profiles.size()));
        boolean useFirstAccount = random.nextInt(3) > 0;
        int accountCount = active.configuration().accounts().size();
        String account = active.configuration()
                .accounts()
                .get(useFirstAccount ? 0 : random.nextInt(accountCount))
                .name();
        long maxTypicalMillis = Math.min(profile.runLimitMillis(), 20_000);
        long runMillis = random.nextInt(20) == 0 ? profile.runLimitMillis() * 3 : random.nextLong(50, maxTypicalMillis);
        String id = submit(account, profile, runMillis);
        if (random.nextInt(25) == 0) {
            failing.add(id);
        }
    }

    private void cancelRandom() {
        List<String> unfinished =
                state.workload().jobs().keySet().stream().sorted().toList();
        if (!unfinished.isEmpty()) {
            handle(new Event.CancelAsked(unfinished.get(random.nextInt(unfinished.size()))));
        }
    }

    private void startLeaving(String id) {
        leavingTargets.add(id);
        externalInvariants.markLeaving(id, now);
        Set<String> listed = ImmutableSortedSet.copyOf(leavingTargets);
        schedule(random.nextLong(1_000), () -> handle(new Event.LeavingListed(listed)));
    }

    private void changeConfiguration() {
        List<Profile> profiles = new ArrayList<>(original.profiles());
        profiles.remove(random.nextInt(profiles.size()));
        List<Target> remaining = new ArrayList<>(original.targets());
        if (random.nextBoolean()) {
            remaining.removeIf(t -> t.id().equals(randomTarget().id()));
        }
        Configuration next = new Configuration(
                original.dataCentres(), remaining, original.accounts(), original.guarantees(), profiles);
        publishConfiguration(new ActiveConfiguration(active.revision() + 1, next, active.out()));
        for (Target target : remaining) {
            FakeTarget fake = targets.get(target.id());
            if (fake != null && fake.isUp()) {
                schedule(500, () -> {
                    if (fake.isUp()) {
                        handle(new Event.TargetReachable(fake.id()));
                    }
                });
            }
        }
    }

    private FakeTarget randomTarget() {
        List<FakeTarget> all = List.copyOf(targets.values());
        return all.get(random.nextInt(all.size()));
    }

    /** Replaces the leader by one that knows nothing but what the log and the targets report. */
    private void replaceScheduler() {
        epoch++;
        pausedUntil = now;
        pendingRecords.clear();
        earlierChecks += invariants.checkCount();
        invariants = new Invariants(decider.policy());
        state = CellState.initial(dataCentre, epoch);
        handle(new Event.Configured(active));
        handle(new Event.LogChanged(logAvailable));
        handle(new Event.LeavingListed(ImmutableSortedSet.copyOf(leavingTargets)));
        for (Request request : List.copyOf(accepted.values())) {
            if (!answers.containsKey(request.id())) {
                handle(new Event.Recovered(
                        request, Optional.ofNullable(intents.get(request.id())), checkpointed.contains(request.id())));
            }
        }
        for (FakeTarget target : targets.values()) {
            target.acceptEpoch(epoch);
            for (String key : target.runningKeys()) {
                String[] parts = key.split("#");
                Job job = state.workload().jobs().get(parts[0]);
                boolean isCurrent = job != null
                        && job.phase() instanceof Phase.Running running
                        && running.attempt().number() == Long.parseLong(parts[1]);
                if (isCurrent) {
                    handle(new Event.MemberChanged(
                            parts[0],
                            Long.parseLong(parts[1]),
                            Integer.parseInt(parts[2]),
                            MemberState.of(MemberState.Status.RUNNING)));
                } else {
                    target.end(key);
                }
            }
            if (target.isUp()) {
                handle(new Event.TargetReachable(target.id()));
            }
        }
    }

    private void renewPermits() {
        long until = now + PERMIT_DURATION_MILLIS;
        boolean isUpToDate = state.active().revision() >= active.revision();
        if (renewsPermits && logAvailable && isUpToDate && now >= pausedUntil) {
            handle(new Event.LeavingListed(ImmutableSortedSet.copyOf(leavingTargets)));
            handle(new Event.PermitRenewed(until));
        }
        schedule(PERMIT_RENEWAL_INTERVAL_MILLIS, this::renewPermits);
    }

    /** Decides on {@code event} now, or after the pause if the scheduler is paused; a replaced leader drops it. */
    void handle(Event event) {
        if (now < pausedUntil) {
            long arrivalEpoch = epoch;
            actions.add(new ScheduledAction(pausedUntil, nextSequence++, () -> {
                if (arrivalEpoch == epoch) {
                    handle(event);
                }
            }));
            return;
        }
        CellState before = state;
        Decision decision = decider.decide(before, event, now);
        steps++;
        violations.addAll(invariants.check(before, event, decision, now));
        state = decision.state();
        addToDigestAndTrace(event, decision);
        if (steps % AUDIT_INTERVAL_STEPS == 0) {
            violations.addAll(invariants.audit(state, now));
        }
        decision.commands().forEach(command -> execute(command, epoch));
    }

    private void addToDigestAndTrace(Event event, Decision decision) {
        String line = now + " " + event + " -> " + decision.notes() + " " + decision.commands();
        digest.putString(line, StandardCharsets.UTF_8);
        trace.add(line.length() > 600 ? line.substring(0, 600) : line);
        if (trace.size() > TRACE_LINES) {
            trace.removeFirst();
        }
    }

    /** Returns the delay of a message; 1 in 50 is so long that deadlines of the policy may pass. */
    private long randomDelayMillis() {
        return random.nextInt(50) == 0 ? random.nextLong(200, 3_500) : random.nextLong(1, 8);
    }

    /** Delivers commands to a target in the order sent, except 1 in 100, which stands for a retry after a timeout. */
    private void sendToTarget(Member member, Runnable command) {
        long arrival = now + randomDelayMillis();
        if (random.nextInt(100) > 0) {
            arrival = Math.max(arrival, lastArrivalByTarget.getOrDefault(member.target(), 0L));
            lastArrivalByTarget.put(member.target(), arrival);
        }
        schedule(arrival - now, command);
    }

    private void execute(Command command, long senderEpoch) {
        switch (command) {
            case Command.Reserve reserve -> schedule(randomDelayMillis(), () -> reserve(reserve, senderEpoch));
            case Command.Release release ->
                schedule(randomDelayMillis(), () -> {
                    FakeTarget target = targets.get(release.member().target());
                    if (target.acceptEpoch(senderEpoch)) {
                        target.release(FakeTarget.memberKey(
                                release.request(),
                                release.attempt(),
                                release.member().index()));
                    }
                });
            case Command.Start start -> {
                int incarnation = targets.get(start.member().target()).incarnation();
                sendToTarget(start.member(), () -> start(start, senderEpoch, incarnation));
            }
            case Command.Treat treat -> {
                int incarnation = targets.get(treat.member().target()).incarnation();
                sendToTarget(treat.member(), () -> treat(treat, senderEpoch, incarnation));
            }
            case Command.Resume resume -> sendToTarget(resume.member(), () -> resume(resume, senderEpoch));
            case Command.RecordIntent intent -> append(() -> recordIntent(intent, senderEpoch));
            case Command.RecordVoid recordVoid -> append(() -> recordVoid(recordVoid));
            case Command.Answer answer -> answer(answer);
            case Command.HandOver handOver -> schedule(randomDelayMillis(), () -> handOver(handOver, senderEpoch));
        }
    }

    /** Sends an event to the leader of {@code senderEpoch}, if it still leads; 1 in 30 arrives twice. */
    private void report(long senderEpoch, Event event) {
        int copies = random.nextInt(30) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            schedule(randomDelayMillis(), () -> {
                if (senderEpoch == epoch) {
                    handle(event);
                }
            });
        }
    }

    private void reserve(Command.Reserve reserve, long senderEpoch) {
        FakeTarget target = targets.get(reserve.member().target());
        String key = FakeTarget.memberKey(
                reserve.request(), reserve.attempt(), reserve.member().index());
        boolean granted = target.acceptEpoch(senderEpoch)
                && target.reserve(key, reserve.member().units(), now, reserve.deadline() + RESERVATION_HOLD_MILLIS);
        report(
                senderEpoch,
                new Event.ReserveAnswered(
                        reserve.request(), reserve.attempt(), reserve.member().index(), granted));
    }

    private void start(Command.Start start, long senderEpoch, int incarnation) {
        FakeTarget target = targets.get(start.member().target());
        if (!target.acceptEpoch(senderEpoch) || target.incarnation() != incarnation) {
            return;
        }
        externalInvariants.checkStartArrival(start, target.id(), now);
        if (!target.start(start, now)) {
            reportMember(start, senderEpoch, MemberState.Status.NOT_STARTED, "");
            return;
        }
        externalInvariants.checkStarted(start);
        reportMember(start, senderEpoch, MemberState.Status.RUNNING, "");
        long runMillis = Long.parseLong(start.request().payload());
        boolean fails = target.failsAll() || failing.contains(start.request().id());
        long endsAfterMillis = fails ? Math.min(runMillis, 50) : runMillis;
        schedule(endsAfterMillis, () -> finishMember(start, target, fails));
    }

    private void finishMember(Command.Start start, FakeTarget target, boolean fails) {
        String key = FakeTarget.memberKey(
                start.request().id(), start.attempt().number(), start.member().index());
        if (target.isUp() && target.end(key)) {
            MemberState.Status status = fails ? MemberState.Status.FAILED : MemberState.Status.ENDED;
            reportMember(start, epoch, status, "output of " + start.request().id());
        }
    }

    private void reportMember(Command.Start start, long senderEpoch, MemberState.Status status, String output) {
        report(
                senderEpoch,
                new Event.MemberChanged(
                        start.request().id(),
                        start.attempt().number(),
                        start.member().index(),
                        new MemberState(status, output)));
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
            report(
                    senderEpoch,
                    new Event.MemberChanged(
                            treat.request(),
                            treat.attempt(),
                            treat.member().index(),
                            MemberState.of(MemberState.Status.NOT_STARTED)));
            return;
        }
        long durationMillis =
                treat.treatment() == Treatment.CHECKPOINT ? random.nextLong(20, 2_500) : random.nextLong(5, 100);
        schedule(durationMillis, () -> {
            if (target.isUp() && target.end(key)) {
                report(
                        senderEpoch,
                        new Event.MemberChanged(
                                treat.request(),
                                treat.attempt(),
                                treat.member().index(),
                                MemberState.of(statusAfter(treat))));
            }
        });
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
        schedule(random.nextLong(50, 5_000), () -> {
            if (target.isUp() && target.end(key)) {
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

    /** Appends a record in order, at once or when the log is available again. */
    private void append(Runnable record) {
        pendingRecords.add(record);
        flushLog();
    }

    private void flushLog() {
        while (logAvailable && !pendingRecords.isEmpty()) {
            pendingRecords.poll().run();
        }
    }

    private void recordVoid(Command.RecordVoid recordVoid) {
        Attempt intent = intents.get(recordVoid.request());
        if (intent != null && intent.number() == recordVoid.attempt()) {
            intents.remove(recordVoid.request());
            if (recordVoid.checkpointed()) {
                checkpointed.add(recordVoid.request());
            }
        }
    }

    private void recordIntent(Command.RecordIntent intent, long senderEpoch) {
        String id = intent.request().id();
        boolean isFirst = !answers.containsKey(id) && !intents.containsKey(id);
        boolean recorded = senderEpoch == epoch && (isFirst || !logRejectsDuplicateIntents);
        if (recorded) {
            intents.put(id, intent.attempt());
        }
        report(senderEpoch, new Event.IntentAnswered(id, intent.attempt().number(), recorded));
    }

    private void handOver(Command.HandOver handOver, long senderEpoch) {
        boolean recorded = logAvailable && senderEpoch == epoch && random.nextInt(4) > 0;
        if (recorded) {
            answers.put(handOver.request().id(), new Outcome.NotRun("handed over"));
            answeredAt.put(handOver.request().id(), now);
        }
        if (senderEpoch == epoch) {
            handle(new Event.HandOverAnswered(handOver.request().id(), recorded));
        }
    }

    private void answer(Command.Answer answer) {
        externalInvariants.checkAnswer(answer);
        answers.putIfAbsent(answer.request().id(), answer.outcome());
        answeredAt.put(answer.request().id(), now);
    }
}
