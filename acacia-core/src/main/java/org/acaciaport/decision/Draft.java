package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.request.Outcome;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePSet;

/**
 * A mutable draft of the next state, with the commands and notes of the decision under way. Its part that concerns
 * targets is a {@link FleetDraft}.
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
    private final FleetDraft targets;

    private ActiveConfiguration active;
    private StartGate gate;
    private PMap<String, Job> jobs;
    private Queues queues;
    private TreePSet<Timer> timers;
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
        targets = new FleetDraft(state, this::requestDispatch);
        gate = state.gate();
        Workload work = state.workload();
        jobs = work.jobs();
        queues = work.queues();
        timers = work.timers();
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
                targets.unitsByAccount(),
                retryBudgets,
                runTimes,
                nextSequence,
                lastAttempt,
                paused,
                largeJob);
        return new CellState(dataCentre, active, targets.fleet(), work, gate);
    }

    /** Returns the decision made so far. */
    Decision decision() {
        return new Decision(state(), commands, notes, targets.changedTargets());
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

    /** Returns the part of this draft that concerns targets. */
    FleetDraft targets() {
        return targets;
    }

    /** Returns the fleet as drafted so far. */
    Fleet fleet() {
        return targets.fleet();
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

    PSet<String> paused() {
        return paused;
    }

    /** Registers {@code job} as paused on {@code target}. */
    void addPaused(Job job, String target) {
        paused = paused.plus(job.id());
        targets.changeTarget(target, t -> t.with(t.load().withPaused(job.id())));
    }

    /** Removes {@code job} from the requests paused on {@code target}. */
    void removePaused(Job job, String target) {
        paused = paused.minus(job.id());
        targets.changeTarget(target, t -> t.with(t.load().withoutPaused(job.id())));
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
