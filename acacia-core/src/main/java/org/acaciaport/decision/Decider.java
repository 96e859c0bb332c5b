package org.acaciaport.decision;

/**
 * The decision function of one data centre: maps a state, an event and the time to the next state and the commands to
 * carry out.
 *
 * <p>Stateless and thread-safe. The result depends on the arguments alone.
 */
public final class Decider {
    private final Policy policy;
    private final Rules rules;

    Decider(Policy policy, Rules rules) {
        this.policy = policy;
        this.rules = rules;
    }

    /** Returns a decider that applies {@code policy} with the standard safety rules. */
    public static Decider of(Policy policy) {
        return new Decider(policy, new Rules());
    }

    /** Returns the limits that the decisions respect. */
    public Policy policy() {
        return policy;
    }

    /**
     * Decides on {@code event}: first handles the timers that are due, then the event, then places waiting requests.
     *
     * @param state the state that the previous decision returned, or {@link CellState#initial} for the first
     * @param event what happened
     * @param now the current time in milliseconds; must not be earlier than in a previous decision
     */
    public Decision decide(CellState state, Event event, long now) {
        Draft draft = new Draft(state, policy, rules, now);
        new Deadlines(draft).runDueTimers();
        apply(draft, event);
        new Dispatcher(draft).run();
        return draft.decision();
    }

    private static void apply(Draft draft, Event event) {
        switch (event) {
            case Event.Tick tick -> {}
            case Event.Submitted submitted -> new Admission(draft).admit(submitted);
            case Event.Recovered recovered -> new Admission(draft).recover(recovered);
            case Event.CancelAsked cancel -> new Deadlines(draft).cancel(cancel.request());
            case Event.HandOverAnswered answer -> new Membership(draft).handleHandOverAnswer(answer);
            case Event.Configured configured -> new Membership(draft).applyConfiguration(configured.active());
            case Event.PermitRenewed permit -> renewPermit(draft, permit.until());
            case Event.LogChanged log -> {
                draft.setGate(draft.gate().withLogAvailable(log.available()));
                draft.requestDispatch();
            }
            case Event.LeavingListed leaving -> new Membership(draft).applyLeavingList(leaving.targets());
            case Event.TargetReachable reachable -> new Membership(draft).markReachable(reachable.target());
            case Event.TargetLost lost -> new Membership(draft).markLost(lost.target());
            case Event.ReserveAnswered answer -> new Starter(draft).handleReserveAnswer(answer);
            case Event.IntentAnswered answer -> new Starter(draft).handleIntentAnswer(answer);
            case Event.MemberChanged change ->
                new RunTracker(draft)
                        .handleMemberChange(change.request(), change.attempt(), change.member(), change.state());
        }
    }

    /** Extends the permit. If it had expired, also resumes what waited for it: placement and claims. */
    private static void renewPermit(Draft draft, long until) {
        boolean expired = draft.gate().permitUntil() <= draft.now();
        draft.setGate(draft.gate().withPermit(until));
        if (!expired) {
            return;
        }
        draft.requestDispatch();
        for (Job job : draft.jobs().values()) {
            if (job.phase() instanceof Phase.Claiming) {
                new Claims(draft).advance(draft.job(job.id()));
            }
        }
    }
}
