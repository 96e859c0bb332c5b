package org.acaciaport.platform;

import java.util.List;
import org.acaciaport.config.Target;
import org.acaciaport.config.Treatment;

/**
 * The task interface of targets. Every call carries the caller's epoch, and a target that has seen a later one refuses.
 * Implementations are safe for use by several threads.
 */
public interface TargetClient {
    /**
     * Renews the lease at a target and reads what changed there, waiting up to {@code waitMillis} for a change.
     *
     * @param since version of the last report read; 0 for everything
     * @param leaseMillis how long the target keeps running work without another call
     * @throws PlatformException if the target did not answer
     */
    Report poll(Target target, long epoch, long since, long waitMillis, long leaseMillis) throws PlatformException;

    /**
     * Asks the target to hold a place.
     *
     * @throws PlatformException if the target refused or did not answer
     */
    void reserve(Target target, Place place, long holdMillis) throws PlatformException;

    /**
     * Gives up a held place for good; a reservation or start that arrives later is refused.
     *
     * @throws PlatformException if the target did not answer
     */
    void release(Target target, Place place) throws PlatformException;

    /**
     * Tells the target to start a task; saying it again for the same place has no further effect.
     *
     * @param incarnation incarnation of the target that is meant; another one refuses
     * @param startBefore latest time of the start, on the target's clock, in milliseconds
     * @throws PlatformException with kind EXPIRED if the target certainly never starts it
     */
    void start(Target target, Place place, Work work, String incarnation, long startBefore) throws PlatformException;

    /**
     * Tells the target to checkpoint, throttle or stop a task; the report says when that is done. A task that was not
     * started is reported as not started, and a start that arrives later is refused.
     *
     * @param incarnation incarnation of the target that is meant; another one refuses
     * @throws PlatformException if the target did not answer
     */
    void treat(Target target, Place place, Treatment treatment, String incarnation) throws PlatformException;

    /**
     * Tells the target to go on with a throttled task.
     *
     * @throws PlatformException if the target did not answer
     */
    void resume(Target target, Place place) throws PlatformException;

    /**
     * Names a member's place at a target.
     *
     * @param epoch epoch of the caller
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param member index of the member
     * @param units accelerators
     */
    record Place(long epoch, String request, long attempt, int member, int units) {}

    /**
     * What a task is given.
     *
     * @param profile name of the profile
     * @param payload opaque input
     * @param resume whether to go on from a saved state
     */
    record Work(String profile, String payload, boolean resume) {}

    /**
     * What a target reports.
     *
     * @param incarnation name that the target took when it started; tasks of an earlier one are gone
     * @param clock reading of the target's clock, in milliseconds
     * @param version version to name in the next poll
     * @param tasks tasks that changed since the version asked for
     */
    record Report(String incarnation, long clock, long version, List<Task> tasks) {
        /** Copies the list. */
        public Report {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * One task at a target.
     *
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param member index of the member
     * @param units accelerators that it was given
     * @param state one word: running, ended, failed, checkpointed, throttled, stopped or not-started
     * @param output its output so far, whole once ended
     */
    record Task(String request, long attempt, int member, int units, String state, String output) {}
}
