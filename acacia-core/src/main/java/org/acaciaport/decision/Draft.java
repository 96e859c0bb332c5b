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
 * A mutable draft of the next state, with the commands and notes of the decision under way.
 *
 * <p>Confined to one call of {@link Decider#decide}; not thread-safe. The methods only do bookkeeping: they keep the
 * totals, indexes and queues consistent and make no decision.
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

    /** Returns a snapshot of the draft. */
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

    /** Returns the decision made so far. */
    Decision decision() {
        return new Decision(state(), commands, notes, changedTargets);
    }

    /** Returns whether {@code attempt} was made in an earlier epoch. */
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

    /** Stores the newest list of leaving VMs, so that targets configured later can be checked against it. */
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

    /** Returns the unfinished request with identifier {@code id}, or null if there is none. */
    Job job(String id) {
        return jobs.get(id);
    }

    /** Returns the units that {@code account} occupies on all targets. */
    int unitsUsedBy(String account) {
        return unitsByAccount.getOrDefault(account, 0);
    }

    PSet<String> paused() {
        return paused;
    }

    /** Registers {@code job} as paused on {@code target}. */
    void addPaused(Job job, String target) {
        paused = paused.plus(job.id());
        changeTarget(target, t -> t.with(t.load().withPaused(job.id())));
    }

    /** Removes {@code job} from the requests paused on {@code target}. */
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

    /** Requests another dispatch of waiting requests before the decision ends. */
    void requestDispatch() {
        dispatchRequested = true;
    }

    /** Returns whether a dispatch was requested, and clears the request. */
    boolean takeDispatchRequest() {
        boolean requested = dispatchRequested;
        dispatchRequested = false;
        return requested;
    }

    /** Returns the targets on which units became free, or claims must be rechecked, since the last call. */
    Set<String> takeFreedTargets() {
        Set<String> taken = new TreeSet<>(freedTargets);
        freedTargets.clear();
        return taken;
    }

    /** Marks all targets with claims to be rechecked; for use after units may have been assigned to other owners. */
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

    /** Adds a note about {@code job}; {@code part} names the component that decided. */
    void note(String part, Job job, String text) {
        notes.add(new Note(part, job.id(), "account=" + job.account() + " " + text));
    }

    /** Adds a note that is not about a single request. */
    void note(String part, String text) {
        notes.add(new Note(part, "", text));
    }

    /** Applies {@code change} to the target with identifier {@code id}, which must be in the fleet. */
    void changeTarget(String id, UnaryOperator<TargetState> change) {
        fleet = fleet.withChanged(id, change);
        changedTargets.add(id);
    }

    void addTimer(long at, Timer.Kind kind, String subject, long attempt) {
        timers = timers.plus(new Timer(at, kind, subject, attempt));
    }

    /** Removes and returns the next timer that is due, or returns null if none is. */
    Timer takeDueTimer() {
        if (timers.isEmpty() || timers.first().dueAt() > now) {
            return null;
        }
        Timer due = timers.first();
        timers = timers.minus(due);
        return due;
    }

    /** Returns the sequence number for a request that arrives now. */
    long nextSequenceNumber() {
        return nextSequence++;
    }

    /** Returns the number for a new attempt. */
    long nextAttemptNumber() {
        return ++lastAttempt;
    }

    /** Adds {@code job}, or replaces its previous version. Leaves the queues and loads unchanged. */
    void put(Job job) {
        jobs = jobs.plus(job.id(), job);
    }

    /** Queues {@code job} at its place by arrival and requests a dispatch, so that it may be placed at once. */
    void enqueue(Job job) {
        Job queued = job.with(new Phase.Queued(now));
        put(queued);
        queues = queues.plus(queued);
        dispatchRequested = true;
    }

    /** Lets {@code job} wait outside the queues until {@code at}, when a timer enqueues it. */
    void defer(Job job, long at) {
        put(job.with(new Phase.Queued(at)));
        addTimer(at, Timer.Kind.RETRY, job.id(), 0);
    }

    void dequeue(Job job) {
        queues = queues.minus(job);
    }

    /**
     * Ends {@code job} and answers it with {@code outcome}. Its units must have been vacated and its claims removed
     * before.
     */
    void finish(Job job, Outcome outcome) {
        remove(job);
        addCommand(new Command.Answer(job.request(), outcome));
        note("answer", job, "outcome=" + outcome.statusName() + " " + describe(outcome));
    }

    /** Removes {@code job} without an answer. Its units must have been vacated and its claims removed before. */
    void remove(Job job) {
        queues = queues.minus(job);
        jobs = jobs.minus(job.id());
        if (largeJob.isPresent() && largeJob.get().equals(job.id())) {
            largeJob = Optional.empty();
            dispatchRequested = true;
        }
    }

    /** Claims the places of {@code claiming} for {@code job}. */
    void addClaim(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            changeTarget(
                    member.target(),
                    t -> t.with(withClaimedUnits(t.load(), job, claiming, member.units())
                            .withJob(job.id())));
        }
    }

    /** Reverses {@link #addClaim}. */
    void removeClaim(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            if (fleet.target(member.target()) != null) {
                changeTarget(
                        member.target(),
                        t -> t.with(withClaimedUnits(t.load(), job, claiming, -member.units())
                                .withoutJob(job.id())));
                freedTargets.add(member.target());
            }
        }
        dispatchRequested = true;
    }

    private static Load withClaimedUnits(Load load, Job job, Phase.Claiming claiming, int units) {
        Load claimed = claiming.hasDeadline()
                ? load.withClaim(job.account(), units, job.profile().revocable())
                : load.withUnboundedClaim(units);
        return claiming.forLargeJob() ? claimed.withSetAside(units) : claimed;
    }

    /** Marks the places of {@code attempt} as occupied by {@code job}. */
    void occupy(Job job, Attempt attempt) {
        for (Member member : attempt.members()) {
            changeUsage(job, member, member.units());
            changeTarget(member.target(), t -> t.with(t.load().withJob(job.id())));
        }
    }

    /**
     * Marks the place of one member as free again.
     *
     * @param revoking whether the member was being revoked, so that its units no longer count as such
     */
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

    private static String describe(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Done done -> "members=" + done.answers().size();
            case Outcome.Failed failed -> "reason=" + failed.reason();
            case Outcome.Cancelled cancelled -> "started=" + cancelled.started();
            case Outcome.NotRun notRun -> "reason=" + notRun.reason();
            case Outcome.Unknown unknown -> "reason=" + unknown.reason();
        };
    }
}
