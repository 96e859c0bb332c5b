package org.acaciaport.node;

import java.util.OptionalLong;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;

/** Sends orders to targets. Safe for use by several threads; calls block until their time is up at the latest. */
public interface TargetCalls {
    /**
     * The target that is meant.
     *
     * @param id its name; another target at the address does nothing
     * @param address host and port
     */
    record Endpoint(String id, String address) {}

    /**
     * An order to start a run.
     *
     * @param task the task
     * @param run number of the start
     * @param payload text for the task
     * @param checkpoint checkpoint to go on from; empty for none
     * @param leaseEndMillis end of the lease, on the target's clock, in milliseconds
     * @param fence fencing token
     */
    record StartRequest(TaskId task, int run, String payload, String checkpoint, long leaseEndMillis, long fence) {}

    /**
     * Asks for a report, and renews the lease.
     *
     * @param fence fencing token
     * @param acknowledged number of the last end that need not be listed again
     * @param leaseEndMillis end of the lease, on the target's clock, in milliseconds; empty to leave it
     * @param waitMillis how long to wait for an end, in milliseconds
     */
    record ReportRequest(long fence, long acknowledged, OptionalLong leaseEndMillis, long waitMillis) {}

    /** Starts a run; waits up to {@code timeoutMillis} milliseconds. */
    OrderReply start(Endpoint target, StartRequest call, long timeoutMillis);

    /** Stops a run, and bars it if it has not begun; waits up to {@code timeoutMillis} milliseconds. */
    OrderReply stop(Endpoint target, TaskId task, int run, long fence, long timeoutMillis);

    /** Asks for a report; waits up to {@code timeoutMillis} milliseconds. */
    ReportReply report(Endpoint target, ReportRequest call, long timeoutMillis);

    /** What came back for an order. */
    sealed interface OrderReply {}

    /** What came back when a report was asked for. */
    sealed interface ReportReply {}

    /** What came back instead, for an order as for a report. */
    sealed interface Failure extends OrderReply, ReportReply {}

    /**
     * The order was carried out.
     *
     * @param clockMillis reading of the target's clock
     */
    record Done(long clockMillis) implements OrderReply {}

    /**
     * A report.
     *
     * @param clockMillis reading of the target's clock
     * @param report what runs and what ended
     */
    record Reported(long clockMillis, TargetReport report) implements ReportReply {}

    /**
     * The order was not carried out and will not be.
     *
     * @param reason why the target refused
     * @param clockMillis reading of the target's clock, if it said so
     */
    record Refused(RefusalReason reason, OptionalLong clockMillis) implements Failure {}

    /**
     * The order may have been carried out, or may be later.
     *
     * @param reason what is known
     */
    record NoAnswer(String reason) implements Failure {}

    /** Why a target refuses. */
    enum RefusalReason {
        /** It has seen a higher fencing token. */
        FENCE,
        /** It has seen an end of this run or a later one. */
        OLD_RUN,
        /** The lease asked for is over already. */
        LATE,
        /** There is no room. */
        ROOM,
        /** It does not know the task. */
        UNKNOWN_TASK,
        /** It is unhealthy or busy. */
        UNHEALTHY,
        /** Another target lives at the address now. */
        OTHER_TARGET
    }
}
