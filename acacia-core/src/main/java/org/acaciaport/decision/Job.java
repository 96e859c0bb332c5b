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
 * @param abortedStarts attempts in a row that were given up before any member ran
 * @param avoidedTargets identifiers of targets that it avoids since they failed or refused it
 * @param startStatus whether any member may have run
 * @param checkpointed whether a saved state exists from which it resumes
 * @param cancelRequested whether the caller wants it no more
 */
public record Job(
        Request request,
        long sequence,
        Phase phase,
        int failures,
        int abortedStarts,
        PSet<String> avoidedTargets,
        StartStatus startStatus,
        boolean checkpointed,
        boolean cancelRequested) {
    /** What is known of starts. */
    public enum StartStatus {
        /** No member was ever told to start, or every one certainly did not. */
        NOT_STARTED,
        /** Another scheduler may have started it. */
        POSSIBLY_STARTED,
        /** A member ran, or may have. */
        STARTED
    }

    /** Returns whether any member may have run. */
    public boolean mayHaveRun() {
        return startStatus != StartStatus.NOT_STARTED;
    }

    /** Returns a job that has just been accepted. */
    static Job accepted(Request request, long sequence) {
        return new Job(
                request,
                sequence,
                new Phase.Queued(0),
                0,
                0,
                HashTreePSet.empty(),
                StartStatus.NOT_STARTED,
                false,
                false);
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
        return phase.currentAttempt().stream()
                .flatMap(a -> a.members().stream())
                .filter(m -> m.target().equals(target))
                .mapToInt(Member::units)
                .sum();
    }

    Job with(Phase next) {
        return new Job(
                request,
                sequence,
                next,
                failures,
                abortedStarts,
                avoidedTargets,
                startStatus,
                checkpointed,
                cancelRequested);
    }

    Job withFailure(String target) {
        return new Job(
                request,
                sequence,
                phase,
                failures + 1,
                abortedStarts,
                avoidedTargets.plus(target),
                startStatus,
                checkpointed,
                cancelRequested);
    }

    /** Returns this job with {@code target} avoided next time, in place of earlier ones. */
    Job withRefusalBy(String target) {
        PSet<String> avoided = HashTreePSet.singleton(target);
        return new Job(
                request,
                sequence,
                phase,
                failures,
                abortedStarts + 1,
                avoided,
                startStatus,
                checkpointed,
                cancelRequested);
    }

    Job withAbortedStart() {
        return new Job(
                request,
                sequence,
                phase,
                failures,
                abortedStarts + 1,
                avoidedTargets,
                startStatus,
                checkpointed,
                cancelRequested);
    }

    Job withStart() {
        return new Job(
                request,
                sequence,
                phase,
                failures,
                0,
                avoidedTargets,
                StartStatus.STARTED,
                checkpointed,
                cancelRequested);
    }

    /** Returns this job as one that another scheduler may have started. */
    Job withPossibleStart() {
        StartStatus known = startStatus == StartStatus.NOT_STARTED ? StartStatus.POSSIBLY_STARTED : startStatus;
        return new Job(
                request,
                sequence,
                phase,
                failures,
                abortedStarts,
                avoidedTargets,
                known,
                checkpointed,
                cancelRequested);
    }

    Job withCheckpoint(boolean saved) {
        return new Job(
                request, sequence, phase, failures, abortedStarts, avoidedTargets, startStatus, saved, cancelRequested);
    }

    Job withCancelRequested() {
        return new Job(
                request, sequence, phase, failures, abortedStarts, avoidedTargets, startStatus, checkpointed, true);
    }
}
