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
    private final Set<String> touched = new TreeSet<>();
    private final Set<String> vacated = new TreeSet<>();

    private ActiveConfiguration active;
    private Fleet fleet;
    private Gate gate;
    private PMap<String, Job> jobs;
    private Queues queues;
    private TreePSet<Timer> timers;
    private PMap<String, Integer> units;
    private PMap<String, RetryBudget> budgets;
    private PMap<String, RunTimes> runTimes;
    private long nextSequence;
    private long nextAttempt;
    private PSet<String> parked;
    private Optional<String> drain;
    private boolean dispatchWanted;

    Draft(CellState state, Policy policy, Rules rules, long now) {
        this.policy = policy;
        this.rules = rules;
        this.now = now;
        dataCentre = state.dataCentre();
        active = state.active();
        fleet = state.fleet();
        gate = state.gate();
        Workload work = state.work();
        jobs = work.jobs();
        queues = work.queues();
        timers = work.timers();
        units = work.units();
        budgets = work.budgets();
        runTimes = work.runTimes();
        nextSequence = work.nextSequence();
        nextAttempt = work.nextAttempt();
        parked = work.parked();
        drain = work.drain();
    }

    /** Returns the state as it stands. */
    CellState state() {
        Workload work =
                new Workload(jobs, queues, timers, units, budgets, runTimes, nextSequence, nextAttempt, parked, drain);
        return new CellState(dataCentre, active, fleet, work, gate);
    }

    Decision decision() {
        return new Decision(state(), commands, notes, touched);
    }

    /** Returns whether {@code attempt} was made by an earlier leader. */
    boolean recovered(Attempt attempt) {
        return CellState.epochOf(attempt.number()) < CellState.epochOf(nextAttempt);
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
        next.targets().keySet().forEach(touched::add);
        fleet = next;
    }

    /** Keeps the newest list of leaving VMs for targets that are configured later. */
    void noteListed(Set<String> listed) {
        fleet = fleet.withListed(listed);
    }

    Gate gate() {
        return gate;
    }

    void setGate(Gate next) {
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

    int unitsOf(String account) {
        return units.getOrDefault(account, 0);
    }

    PSet<String> parked() {
        return parked;
    }

    /** Counts {@code job} as paused on {@code target}. */
    void park(Job job, String target) {
        parked = parked.plus(job.id());
        changeTarget(target, t -> t.with(t.load().withParked(job.id())));
    }

    /** Counts {@code job} as no longer paused on {@code target}. */
    void unpark(Job job, String target) {
        parked = parked.minus(job.id());
        changeTarget(target, t -> t.with(t.load().withoutParked(job.id())));
    }

    Optional<String> drain() {
        return drain;
    }

    void setDrain(Optional<String> next) {
        drain = next;
    }

    /** Asks for another look at the queues before the decision ends. */
    void wantDispatch() {
        dispatchWanted = true;
    }

    /** Returns whether another look at the queues was asked for, and forgets it. */
    boolean takeDispatchWanted() {
        boolean wanted = dispatchWanted;
        dispatchWanted = false;
        return wanted;
    }

    /** Returns the targets on which accelerators became free since the last call, and forgets them. */
    Set<String> takeVacated() {
        Set<String> taken = new TreeSet<>(vacated);
        vacated.clear();
        return taken;
    }

    /** Has all claims looked at again, since their places may have other owners now. */
    void revisitClaims() {
        for (TargetState target : fleet.targets().values()) {
            if (target.load().claimed() > 0) {
                vacated.add(target.id());
            }
        }
    }

    void command(Command command) {
        commands.add(command);
    }

    void note(String part, Job job, String text) {
        notes.add(new Note(part, job.id(), "account=" + job.account() + " " + text));
    }

    void note(String part, String text) {
        notes.add(new Note(part, "", text));
    }

    void changeTarget(String id, UnaryOperator<TargetState> change) {
        fleet = fleet.change(id, change);
        touched.add(id);
    }

    void timer(long at, Timer.Kind kind, String subject, long attempt) {
        timers = timers.plus(new Timer(at, kind, subject, attempt));
    }

    /** Returns the next timer that is due and removes it, or returns null. */
    Timer takeDueTimer() {
        if (timers.isEmpty() || timers.first().at() > now) {
            return null;
        }
        Timer due = timers.first();
        timers = timers.minus(due);
        return due;
    }

    long takeSequence() {
        return nextSequence++;
    }

    long takeAttempt() {
        return ++nextAttempt;
    }

    void put(Job job) {
        jobs = jobs.plus(job.id(), job);
    }

    /** Puts {@code job} at its place in the queue, from where it can be placed at once. */
    void enqueue(Job job) {
        Job queued = job.with(new Phase.Queued(now));
        put(queued);
        queues = queues.plus(queued);
        dispatchWanted = true;
    }

    /** Keeps {@code job} waiting without being placed until {@code at}. */
    void defer(Job job, long at) {
        put(job.with(new Phase.Queued(at)));
        timer(at, Timer.Kind.RETRY, job.id(), 0);
    }

    void dequeue(Job job) {
        queues = queues.minus(job);
    }

    /** Ends {@code job} with its only answer. Its accelerators must have been given up before. */
    void finish(Job job, Outcome outcome) {
        remove(job);
        command(new Command.Answer(job.request(), outcome));
        note("answer", job, "outcome=" + outcome.word() + " " + detail(outcome));
    }

    /** Forgets {@code job}. Its accelerators must have been given up before. */
    void remove(Job job) {
        queues = queues.minus(job);
        jobs = jobs.minus(job.id());
        if (drain.isPresent() && drain.get().equals(job.id())) {
            drain = Optional.empty();
            dispatchWanted = true;
        }
    }

    /** Promises the places of {@code claiming} to {@code job}. */
    void claim(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            changeTarget(
                    member.target(),
                    t -> t.with(
                            promised(t.load(), job, claiming, member.units()).withJob(job.id())));
        }
    }

    /** Takes back what {@link #claim} promised. */
    void unclaim(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            if (fleet.target(member.target()) != null) {
                changeTarget(
                        member.target(),
                        t -> t.with(promised(t.load(), job, claiming, -member.units())
                                .withoutJob(job.id())));
                vacated.add(member.target());
            }
        }
        dispatchWanted = true;
    }

    private static Load promised(Load load, Job job, Phase.Claiming claiming, int units) {
        Load counted = claiming.bounded()
                ? load.withClaim(job.account(), units, job.profile().revocable())
                : load.withoutDeadline(units);
        return claiming.drain() ? counted.withSetAside(units) : counted;
    }

    /** Counts the accelerators of an attempt as occupied. */
    void occupy(Job job, Attempt attempt) {
        for (Member member : attempt.members()) {
            changeUse(job, member, member.units());
            changeTarget(member.target(), t -> t.with(t.load().withJob(job.id())));
        }
    }

    /** Counts the accelerators of one member as free again. */
    void vacate(Job job, Member member, boolean revoking) {
        if (fleet.target(member.target()) == null) {
            return;
        }
        changeUse(job, member, -member.units());
        changeTarget(member.target(), t -> {
            Load load = t.load().withoutJob(job.id());
            return t.with(revoking ? load.withRevoking(-member.units()) : load);
        });
        vacated.add(member.target());
        dispatchWanted = true;
    }

    private void changeUse(Job job, Member member, int change) {
        boolean revocable = job.profile().revocable();
        changeTarget(member.target(), t -> t.with(t.load().withUse(job.account(), change, revocable)));
        units = units.plus(job.account(), unitsOf(job.account()) + change);
    }

    RetryBudget budget(String profile) {
        return budgets.getOrDefault(profile, RetryBudget.FULL);
    }

    void setBudget(String profile, RetryBudget budget) {
        budgets = budgets.plus(profile, budget);
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
