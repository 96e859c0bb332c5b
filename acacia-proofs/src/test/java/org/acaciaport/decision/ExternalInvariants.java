package org.acaciaport.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.request.Outcome;

/**
 * Checks of the invariants against what is visible outside the scheduler: starts on targets and answers to callers.
 *
 * <p>Unlike {@link Invariants}, which sees the state and commands of one leader, these checks span changes of leader.
 * Times are virtual, in milliseconds. Not thread-safe.
 */
final class ExternalInvariants {
    /** Grace period for starts after a data centre is taken out of service or a target begins to leave. */
    private static final long START_GRACE_MILLIS = 4_000;

    private final Map<String, FakeTarget> targets;
    private final Map<String, Outcome> answers;
    private final List<Violation> violations;
    private final Map<String, Long> leavingSince = new HashMap<>();
    private long outOfServiceSince = Long.MAX_VALUE;

    ExternalInvariants(Map<String, FakeTarget> targets, Map<String, Outcome> answers, List<Violation> violations) {
        this.targets = targets;
        this.answers = answers;
        this.violations = violations;
    }

    /** Sets when the data centre went out of service, or {@link Long#MAX_VALUE} if it is in service. */
    void setOutOfServiceSince(long since) {
        outOfServiceSince = since;
    }

    void markLeaving(String target, long since) {
        leavingSince.putIfAbsent(target, since);
    }

    void clearLeaving() {
        leavingSince.clear();
    }

    /** Checks that a start arrives within the grace period, unless it is refused because its deadline has passed. */
    void checkStartArrival(Command.Start start, String target, long now) {
        if (now >= start.attempt().startBefore()) {
            return;
        }
        if (outOfServiceSince != Long.MAX_VALUE && now - outOfServiceSince > START_GRACE_MILLIS) {
            add(
                    Violation.Invariant.PERMIT,
                    start.request().id() + " started " + (now - outOfServiceSince) + " ms after out");
        }
        Long since = leavingSince.get(target);
        if (since != null && now - since > START_GRACE_MILLIS) {
            add(Violation.Invariant.LEAVING, target + " got work " + (now - since) + " ms after leaving");
        }
    }

    /**
     * Checks a start that the target has executed.
     *
     * <p>No member starts after its request was answered. A member that is not idempotent starts once, except to resume
     * from a checkpoint.
     */
    void checkStarted(Command.Start start) {
        String id = start.request().id();
        if (answers.containsKey(id)) {
            add(Violation.Invariant.NOT_RUN_TRUE, id + " started after its answer " + answers.get(id));
        }
        if (start.request().profile().idempotent() || start.resume()) {
            return;
        }
        long count = targets.values().stream()
                .flatMap(t -> t.starts().stream())
                .filter(s ->
                        s.request().equals(id) && s.member() == start.member().index())
                .count();
        if (count > 1) {
            add(Violation.Invariant.AT_MOST_ONCE, id + " member started " + count + " times");
        }
    }

    /**
     * Checks an answer to a caller.
     *
     * <p>It must be the first answer of its request. Work that is answered as not run must never have started, and work
     * that is answered as done must have the output of every member.
     */
    void checkAnswer(Command.Answer answer) {
        String id = answer.request().id();
        if (answers.containsKey(id)) {
            add(Violation.Invariant.ONE_ANSWER, id + " answered twice");
        }
        boolean ran = targets.values().stream()
                .flatMap(t -> t.starts().stream())
                .anyMatch(s -> s.request().equals(id));
        if (answer.outcome() instanceof Outcome.NotRun && ran) {
            add(Violation.Invariant.NOT_RUN_TRUE, id + " ran but was answered as not run");
        }
        if (answer.outcome() instanceof Outcome.Done done) {
            int members = answer.request().profile().shape().targets();
            boolean complete = done.answers().size() == members
                    && done.answers().stream().allMatch(a -> a.output().equals("output of " + id));
            if (!complete) {
                add(Violation.Invariant.ONE_ANSWER, id + " got a partial or foreign answer");
            }
        }
    }

    private void add(Violation.Invariant invariant, String detail) {
        violations.add(new Violation(invariant, detail));
    }
}
