package org.acaciaport.decision;

import org.acaciaport.config.Profile;
import org.acaciaport.request.Request;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * An unfinished request and its progress.
 *
 * <p>Immutable.
 *
 * @param request the request
 * @param sequence arrival order within the data centre; kept when the request is queued again
 * @param phase where it stands
 * @param failures attempts that ran and failed
 * @param refusals attempts in a row that were given up before any member ran
 * @param failedOn identifiers of targets that it avoids since they failed or refused it
 * @param started whether any member may have run
 * @param checkpointed whether a saved state exists from which it resumes
 * @param cancelAsked whether the caller wants it no more
 */
public record Job(
        Request request,
        long sequence,
        Phase phase,
        int failures,
        int refusals,
        PSet<String> failedOn,
        Started started,
        boolean checkpointed,
        boolean cancelAsked) {
    /** What is known of starts. */
    public enum Started {
        /** No member was ever told to start, or every one certainly did not. */
        NO,
        /** Another scheduler may have started it. */
        PERHAPS,
        /** A member ran, or may have. */
        YES
    }

    /** Returns whether any member may have run. */
    public boolean everStarted() {
        return started != Started.NO;
    }

    /** Returns a job that has just been accepted. */
    static Job accepted(Request request, long sequence) {
        return new Job(request, sequence, new Phase.Queued(0), 0, 0, HashTreePSet.empty(), Started.NO, false, false);
    }

    /** Returns the request's identifier. */
    public String id() {
        return request.id();
    }

    /** Returns the request's account. */
    public String account() {
        return request.account();
    }

    /** Returns the request's profile. */
    public Profile profile() {
        return request.profile();
    }

    /** Returns the accelerators that the present attempt occupies on {@code target}, or was promised there. */
    int unitsOn(String target) {
        return phase.current().stream()
                .flatMap(a -> a.members().stream())
                .filter(m -> m.target().equals(target))
                .mapToInt(Member::units)
                .sum();
    }

    Job with(Phase next) {
        return new Job(request, sequence, next, failures, refusals, failedOn, started, checkpointed, cancelAsked);
    }

    Job withFailure(String target) {
        return new Job(
                request,
                sequence,
                phase,
                failures + 1,
                refusals,
                failedOn.plus(target),
                started,
                checkpointed,
                cancelAsked);
    }

    /** Returns this job with {@code target} avoided next time, in place of earlier ones. */
    Job avoiding(String target) {
        PSet<String> avoided = HashTreePSet.singleton(target);
        return new Job(request, sequence, phase, failures, refusals + 1, avoided, started, checkpointed, cancelAsked);
    }

    Job withRefusal() {
        return new Job(request, sequence, phase, failures, refusals + 1, failedOn, started, checkpointed, cancelAsked);
    }

    Job withStart() {
        return new Job(request, sequence, phase, failures, 0, failedOn, Started.YES, checkpointed, cancelAsked);
    }

    /** Returns this job as one that another scheduler may have started. */
    Job withPerhaps() {
        Started known = started == Started.NO ? Started.PERHAPS : started;
        return new Job(request, sequence, phase, failures, refusals, failedOn, known, checkpointed, cancelAsked);
    }

    Job withCheckpoint(boolean saved) {
        return new Job(request, sequence, phase, failures, refusals, failedOn, started, saved, cancelAsked);
    }

    Job withCancelAsked() {
        return new Job(request, sequence, phase, failures, refusals, failedOn, started, checkpointed, true);
    }
}
