package org.acaciaport.node;

import java.util.OptionalLong;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;

/** Sends commands to targets. Implementations are thread-safe; calls block no longer than their timeout. */
public interface TargetCalls {
    /**
     * The target to call.
     *
     * @param id id of the target; another target at the address rejects the call
     * @param address host and port
     */
    record Endpoint(String id, String address) {}

    /**
     * A request to start a run of a task.
     *
     * @param task the task
     * @param run run number of the task
     * @param payload text passed to the task
     * @param checkpoint checkpoint to resume from; empty for none
     * @param leaseEndMillis end of the requested lease, on the target's clock, in milliseconds
     * @param fence fencing token
     */
    record StartRequest(TaskId task, int run, String payload, String checkpoint, long leaseEndMillis, long fence) {}

    /**
     * A request for a report, which also renews the lease.
     *
     * @param fence fencing token
     * @param acknowledged sequence number of the last ended run that need not be reported again
     * @param leaseEndMillis end of the requested lease, on the target's clock, in milliseconds; empty to not renew it
     * @param waitMillis how long the target may hold back the report until a run ends, in milliseconds
     */
    record ReportRequest(long fence, long acknowledged, OptionalLong leaseEndMillis, long waitMillis) {}

    /** Returns the longest lease that a target grants, in milliseconds. */
    long maxLeaseMillis();

    /** Starts a run. */
    CommandReply start(Endpoint target, StartRequest request, long timeoutMillis);

    /** Stops a run; if it has not started, the target rejects a later start of it. */
    CommandReply stop(Endpoint target, TaskId task, int run, long fence, long timeoutMillis);

    /** Requests a report. */
    ReportReply report(Endpoint target, ReportRequest request, long timeoutMillis);

    /** The reply to a command. */
    sealed interface CommandReply {}

    /** The reply to a request for a report. */
    sealed interface ReportReply {}

    /** A failed command or request. */
    sealed interface Failure extends CommandReply, ReportReply {}

    /**
     * The command was carried out.
     *
     * @param clockMillis reading of the target's clock
     */
    record Done(long clockMillis) implements CommandReply {}

    /**
     * A report.
     *
     * @param clockMillis reading of the target's clock
     * @param report the runs that exist and those that ended
     */
    record Reported(long clockMillis, TargetReport report) implements ReportReply {}

    /**
     * The request was refused, and will not be carried out later.
     *
     * @param reason why the target refused
     * @param clockMillis reading of the target's clock, if the refusal has one
     */
    record Refused(RefusalReason reason, OptionalLong clockMillis) implements Failure {}

    /**
     * There was no answer: the request may have been carried out, or may still be.
     *
     * @param reason description of the failure
     */
    record NoAnswer(String reason) implements Failure {}

    /** The reason why a target refused a request. */
    enum RefusalReason {
        /** The target has seen a higher fencing token. */
        FENCE,
        /** The target has seen the end of this run or of a later one. */
        OLD_RUN,
        /** The requested lease has already ended. */
        LATE,
        /** The target has too few free resources. */
        ROOM,
        /** The target does not know the task. */
        UNKNOWN_TASK,
        /** The target is unhealthy or overloaded. */
        UNHEALTHY,
        /** The address now belongs to another target. */
        OTHER_TARGET
    }
}
