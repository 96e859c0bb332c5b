package org.acaciaport.platform;

import java.util.List;
import org.acaciaport.config.Target;
import org.acaciaport.config.Treatment;

/**
 * A client of the task interface of targets. Implementations are thread-safe.
 *
 * <p>Every call carries the epoch of the calling leader as a fencing token: a target refuses calls with a lower epoch
 * than it has seen.
 */
public interface TargetClient {
    /**
     * Renews the lease on a target and reads the tasks that have changed, waiting up to {@code waitMillis} milliseconds
     * for a change.
     *
     * @param since version of the last report read; 0 to read all tasks
     * @param leaseMillis duration of the lease, in milliseconds; the target stops its work when the lease expires
     * @throws PlatformException if the target refused or did not reply
     */
    Report poll(Target target, long epoch, long since, long waitMillis, long leaseMillis) throws PlatformException;

    /**
     * Reserves a place on the target for {@code holdMillis} milliseconds.
     *
     * @throws PlatformException if the target refused or did not reply
     */
    void reserve(Target target, Place place, long holdMillis) throws PlatformException;

    /**
     * Releases a reserved place. This is final: the target refuses a reservation or start of the place that arrives
     * later.
     *
     * @throws PlatformException if the target refused or did not reply
     */
    void release(Target target, Place place) throws PlatformException;

    /**
     * Starts a task. Idempotent: a repeated call for the same place has no further effect.
     *
     * @param incarnation the expected incarnation of the target, which refuses if its own differs
     * @param startBefore deadline of the start, in milliseconds on the target's clock
     * @throws PlatformException if the target refused or did not reply; with kind EXPIRED if the target will never
     *     start the task
     */
    void start(Target target, Place place, Work work, String incarnation, long startBefore) throws PlatformException;

    /**
     * Tells the target to checkpoint, throttle or stop a task; a later report shows when that is done. A task that has
     * not been started is reported as not started, and the target refuses a start that arrives later.
     *
     * @param incarnation the expected incarnation of the target, which refuses if its own differs
     * @throws PlatformException if the target refused or did not reply
     */
    void treat(Target target, Place place, Treatment treatment, String incarnation) throws PlatformException;

    /**
     * Tells the target to resume a throttled task.
     *
     * @throws PlatformException if the target refused or did not reply
     */
    void resume(Target target, Place place) throws PlatformException;

    /**
     * The place of one member on a target: its accelerators, and the identity of the task that runs on them. A place is
     * identified by request, attempt and member.
     *
     * @param epoch epoch of the caller
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param member index of the member within the gang
     * @param units number of accelerators
     */
    record Place(long epoch, String request, long attempt, int member, int units) {}

    /**
     * The input of a task.
     *
     * @param profile name of the profile
     * @param payload opaque input
     * @param resume whether to resume from a checkpoint
     */
    record Work(String profile, String payload, boolean resume) {}

    /**
     * A report of a target.
     *
     * @param incarnation unique name that the target chose when it started; tasks of earlier incarnations are lost
     * @param clock reading of the target's clock, in milliseconds
     * @param version version of the report, to pass to the next poll
     * @param tasks tasks that have changed since the version passed to the poll
     */
    record Report(String incarnation, long clock, long version, List<Task> tasks) {
        /** Makes a defensive copy of {@code tasks}. */
        public Report {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * The state of one task on a target.
     *
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param member index of the member within the gang
     * @param units number of accelerators that it occupies
     * @param state one of running, ended, failed, checkpointed, throttled, stopped or not-started
     * @param output its output so far; complete once the task has ended
     */
    record Task(String request, long attempt, int member, int units, String state, String output) {}
}
