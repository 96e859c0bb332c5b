package org.acaciaport.node;

import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;

/** Receives the events of a session, on the session's threads. Implementations must not block. */
interface SessionEvents {
    /** Called with each report, in the order in which they were taken. */
    void reported(TargetReport report);

    /** Called when the target has confirmed a start. */
    void started(TargetCommand.Start start);

    /**
     * Called when a start has not happened and cannot happen any more.
     *
     * @param exclusionMillis how long the target should get no new work, in milliseconds
     */
    void notStarted(TargetCommand.Start start, String reason, long exclusionMillis);

    /**
     * Called before a start that certainly has not happened is sent again. The implementation calls {@code resend} on
     * a thread that may block if the start is still wanted, and otherwise handles it as one that has not happened.
     */
    void startAbsent(TargetCommand.Start start, Runnable resend);

    /**
     * Called when the target did not answer.
     *
     * @param exclusionMillis how long the target should get no new work, in milliseconds
     */
    void unresponsive(String target, long exclusionMillis);

    /** Called when the lease has expired, so that no run is left on the target. */
    void leaseExpired(String target);

    /** Called when the target has seen the fencing token of a later leader. */
    void deposed(String target);

    /** Returns whether the term was confirmed recently enough to send commands and renew leases. */
    boolean isLeading();
}
