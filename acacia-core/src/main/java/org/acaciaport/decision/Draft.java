package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.request.Outcome;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePSet;

/**
 * The next state while one decision is being made.
 *
 * <p>Confined to one call of {@link Decider}; not thread-safe. Bookkeeping only: every method keeps the sums, indexes
 * and queues in step with one another and decides nothing.
 */
final class Draft {
    private final Policy policy;
    private final Rules rules;
    private final long now;
    private final String dataCentre;
    private final List<Command> commands = new ArrayList<>();
    private final List<Note> notes = new ArrayList<>();
    private final Set<String> changedTargets = new TreeSet<>();
    private final Set<String> freedTargets = new TreeSet<>();

    private ActiveConfiguration active;
    private Fleet fleet;
    private StartGate gate;
    private PMap<String, Job> jobs;
    private Queues queues;
    private TreePSet<Timer> timers;
    private PMap<String, Integer> unitsByAccount;
    private PMap<String, RetryBudget> retryBudgets;
    private PMap<String, RunTimes> runTimes;
    private long nextSequence;
    private long lastAttempt;
    private PSet<String> paused;
    private Optional<String> largeJob;
    private boolean dispatchRequested;

    Draft(CellState state, Policy policy, Rules rules, long now) {
        this.policy = policy;
        this.rules = rules;
        this.now = now;
        dataCentre = state.dataCentre();
        active = state.active();
        fleet = state.fleet();
        gate = state.gate();
        Workload work = state.workload();
        jobs = work.jobs();
        queues = work.queues();
        timers = work.timers();
        unitsByAccount = work.unitsByAccount();
        retryBudgets = work.retryBudgets();
        runTimes = work.runTimes();
        nextSequence = work.nextSequence();
        lastAttempt = work.lastAttempt();
        paused = work.paused();
        largeJob = work.largeJob();
    }

    /** Returns the state as it stands. */
    CellState state() {
        Workload work = new Workload(
                jobs,
                queues,
                timers,
                unitsByAccount,
                retryBudgets,
                runTimes,
                nextSequence,
                lastAttempt,
                paused,
                largeJob);
        return new CellState(dataCentre, active, fleet, work, gate);
    }

    Decision decision() {
        return new Decision(state(), commands, notes, changedTargets);
    }

    /** Returns whether {@code attempt} was made by an earlier leader. */
    boolean isFromEarlierLeader(Attempt attempt) {
        return CellState.epochOf(attempt.number()) < CellState.epochOf(lastAttempt);
    }

    Policy policy() {
        return policy;
    }

    Rules rules() {
        return rules;
    }

    long now() {
        return now;
    }

    ActiveConfiguration active() {
        return active;
    }

    void setActive(ActiveConfiguration next) {
        active = next;
    }

    Fleet fleet() {
        return fleet;
    }

    void setFleet(Fleet next) {
        next.targets().keySet().forEach(changedTargets::add);
        fleet = next;
    }

    /** Keeps the newest list of leaving VMs for targets that are configured later. */
    void setListedAsLeaving(Set<String> listed) {
        fleet = fleet.withListedAsLeaving(listed);
    }

    StartGate gate() {
        return gate;
    }

    void setGate(StartGate next) {
        gate = next;
    }

    Queues queues() {
        return queues;
    }

    PMap<String, Job> jobs() {
        return jobs;
    }

    /** Returns the unfinished request called {@code id}, or null. */
    Job job(String id) {
        return jobs.get(id);
    }

    int unitsUsedBy(String account) {
        return unitsByAccount.getOrDefault(account, 0);
    }

    PSet<String> paused() {
        return paused;
    }

    /** Counts {@code job} as paused on {@code target}. */
    void addPaused(Job job, String target) {
        paused = paused.plus(job.id());
        changeTarget(target, t -> t.with(t.load().withPaused(job.id())));
    }

    /** Counts {@code job} as no longer paused on {@code target}. */
    void removePaused(Job job, String target) {
        paused = paused.minus(job.id());
        changeTarget(target, t -> t.with(t.load().withoutPaused(job.id())));
    }

    Optional<String> largeJob() {
        return largeJob;
    }

    void setLargeJob(Optional<String> next) {
        largeJob = next;
    }

    /** Asks for another look at the queues before the decision ends. */
    void requestDispatch() {
        dispatchRequested = true;
    }

    /** Returns whether another look at the queues was asked for, and forgets it. */
    boolean takeDispatchRequest() {
        boolean wanted = dispatchRequested;
        dispatchRequested = false;
        return wanted;
    }

    /** Returns the targets on which accelerators became free since the last call, and forgets them. */
    Set<String> takeFreedTargets() {
        Set<String> taken = new TreeSet<>(freedTargets);
        freedTargets.clear();
        return taken;
    }

    /** Has all claims looked at again, since their places may have other owners now. */
    void recheckClaims() {
        for (TargetState target : fleet.targets().values()) {
            if (target.load().claimed() > 0) {
                freedTargets.add(target.id());
            }
        }
    }

    void addCommand(Command command) {
        commands.add(command);
    }

    void note(String part, Job job, String text) {
        notes.add(new Note(part, job.id(), "account=" + job.account() + " " + text));
    }

    void note(String part, String text) {
        notes.add(new Note(part, "", text));
    }

    void changeTarget(String id, UnaryOperator<TargetState> change) {
        fleet = fleet.withChanged(id, change);
        changedTargets.add(id);
    }

    void addTimer(long at, Timer.Kind kind, String subject, long attempt) {
        timers = timers.plus(new Timer(at, kind, subject, attempt));
    }

    /** Returns the next timer that is due and removes it, or returns null. */
    Timer takeDueTimer() {
        if (timers.isEmpty() || timers.first().dueAt() > now) {
            return null;
        }
        Timer due = timers.first();
        timers = timers.minus(due);
        return due;
    }

    long nextSequenceNumber() {
        return nextSequence++;
    }

    long nextAttemptNumber() {
        return ++lastAttempt;
    }

    void put(Job job) {
        jobs = jobs.plus(job.id(), job);
    }

    /** Puts {@code job} at its place in the queue, from where it can be placed at once. */
    void enqueue(Job job) {
        Job queued = job.with(new Phase.Queued(now));
        put(queued);
        queues = queues.plus(queued);
        dispatchRequested = true;
    }

    /** Keeps {@code job} waiting without being placed until {@code at}. */
    void defer(Job job, long at) {
        put(job.with(new Phase.Queued(at)));
        addTimer(at, Timer.Kind.RETRY, job.id(), 0);
    }

    void dequeue(Job job) {
        queues = queues.minus(job);
    }

    /** Ends {@code job} with its only answer. Its accelerators must have been given up before. */
    void finish(Job job, Outcome outcome) {
        remove(job);
        addCommand(new Command.Answer(job.request(), outcome));
        note("answer", job, "outcome=" + outcome.word() + " " + detail(outcome));
    }

    /** Forgets {@code job}. Its accelerators must have been given up before. */
    void remove(Job job) {
        queues = queues.minus(job);
        jobs = jobs.minus(job.id());
        if (largeJob.isPresent() && largeJob.get().equals(job.id())) {
            largeJob = Optional.empty();
            dispatchRequested = true;
        }
    }

    /** Promises the places of {@code claiming} to {@code job}. */
    void addClaim(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            changeTarget(
                    member.target(),
                    t -> t.with(withPromisedUnits(t.load(), job, claiming, member.units())
                            .withJob(job.id())));
        }
    }

    /** Takes back what {@link #addClaim} promised. */
    void removeClaim(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            if (fleet.target(member.target()) != null) {
                changeTarget(
                        member.target(),
                        t -> t.with(withPromisedUnits(t.load(), job, claiming, -member.units())
                                .withoutJob(job.id())));
                freedTargets.add(member.target());
            }
        }
        dispatchRequested = true;
    }

    private static Load withPromisedUnits(Load load, Job job, Phase.Claiming claiming, int units) {
        Load counted = claiming.hasDeadline()
                ? load.withClaim(job.account(), units, job.profile().revocable())
                : load.withUnboundedClaim(units);
        return claiming.forLargeJob() ? counted.withSetAside(units) : counted;
    }

    /** Counts the accelerators of an attempt as occupied. */
    void occupy(Job job, Attempt attempt) {
        for (Member member : attempt.members()) {
            changeUsage(job, member, member.units());
            changeTarget(member.target(), t -> t.with(t.load().withJob(job.id())));
        }
    }

    /** Counts the accelerators of one member as free again. */
    void vacate(Job job, Member member, boolean revoking) {
        if (fleet.target(member.target()) == null) {
            return;
        }
        changeUsage(job, member, -member.units());
        changeTarget(member.target(), t -> {
            Load load = t.load().withoutJob(job.id());
            return t.with(revoking ? load.withRevoking(-member.units()) : load);
        });
        freedTargets.add(member.target());
        dispatchRequested = true;
    }

    private void changeUsage(Job job, Member member, int change) {
        boolean revocable = job.profile().revocable();
        changeTarget(member.target(), t -> t.with(t.load().withUsage(job.account(), change, revocable)));
        unitsByAccount = unitsByAccount.plus(job.account(), unitsUsedBy(job.account()) + change);
    }

    RetryBudget retryBudget(String profile) {
        return retryBudgets.getOrDefault(profile, RetryBudget.FULL);
    }

    void setRetryBudget(String profile, RetryBudget budget) {
        retryBudgets = retryBudgets.plus(profile, budget);
    }

    RunTimes runTimes(String profile) {
        return runTimes.getOrDefault(profile, RunTimes.NONE);
    }

    void addRunTime(String profile, long millis) {
        runTimes = runTimes.plus(profile, runTimes(profile).plus(millis));
    }

    private static String detail(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Done done -> "members=" + done.answers().size();
            case Outcome.Failed failed -> "reason=" + failed.reason();
            case Outcome.Cancelled cancelled -> "started=" + cancelled.started();
            case Outcome.NotRun notRun -> "reason=" + notRun.reason();
            case Outcome.Unknown unknown -> "reason=" + unknown.reason();
        };
    }
}
