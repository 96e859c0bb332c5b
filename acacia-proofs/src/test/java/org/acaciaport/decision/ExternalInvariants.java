package org.acaciaport.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.request.Outcome;

/** Promises that only the outside can check: the targets' own records of starts and the callers' answers. */
final class ExternalInvariants {
    /** Longest time after a take-out, or a target's leaving, in which a start may still happen, in milliseconds. */
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

    void setOutOfServiceSince(long since) {
        outOfServiceSince = since;
    }

    void markLeaving(String target, long since) {
        leavingSince.putIfAbsent(target, since);
    }

    void clearLeaving() {
        leavingSince.clear();
    }

    /** A start reaches its target while its deadline has not passed. */
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

    /** Work that must not run twice starts each member once, unless it was checkpointed; answered work never starts. */
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
