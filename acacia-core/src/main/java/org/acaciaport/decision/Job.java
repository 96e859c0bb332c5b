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
 * @param sequence number that gives the order of arrival within the data centre; kept when the request is queued again
 * @param phase its phase
 * @param failures number of attempts that ran and failed
 * @param abortedStarts number of attempts abandoned before any member ran, since the last one that did run
 * @param avoidedTargets identifiers of the targets on which it is not placed, because they failed or refused it
 * @param startStatus whether any member may have run
 * @param checkpointed whether a checkpoint exists from which it resumes
 * @param cancelRequested whether the caller asked to cancel it
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
    /** Whether any member of a request may have run. */
    public enum StartStatus {
        /** No member was told to start, or it is certain that none of them did. */
        NOT_STARTED,
        /** Another scheduler may have started a member. */
        POSSIBLY_STARTED,
        /** A member ran, or may have run after this scheduler told it to start. */
        STARTED
    }

    /** Returns whether any member may have run. */
    public boolean mayHaveRun() {
        return startStatus != StartStatus.NOT_STARTED;
    }

    /** Returns the job for a request that has just been accepted. */
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

    /** Returns the units of the current attempt's place on {@code target}; zero if it has none there. */
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

    /** Returns this job with one more failed attempt, from now on avoiding {@code target} as well. */
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

    /**
     * Returns this job with one more aborted start, to be placed on any target but {@code target} from now on. Targets
     * avoided earlier are allowed again.
     */
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

    /** Returns this job with one more attempt abandoned before any member ran. */
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

    /** Returns this job as one of which a member has started. */
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

    /** Returns this job as one that another scheduler may have started, unless it has started here. */
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
