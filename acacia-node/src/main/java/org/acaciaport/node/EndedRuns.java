package org.acaciaport.node;

/**
 * Which ended runs a target has reported and need not report again, by the numbers of their ends.
 *
 * <p>Thread-safe; its state is guarded by the lock of the link.
 */
final class EndedRuns {
    private final TargetLink link;

    /** Number of the last ended run whose record is durable; the target need not report it again. */
    private long lastAcknowledged;

    /** Number of the last ended run that the target has reported. */
    private long lastReported;

    EndedRuns(TargetLink link) {
        this.link = link;
    }

    /**
     * Returns the number of the last ended run that need not be reported again; 0 while the incarnation of the target
     * is not confirmed, as each numbers its ends anew.
     */
    long acknowledged() {
        synchronized (link) {
            return link.incarnation() == 0 ? 0 : lastAcknowledged;
        }
    }

    /** Records that the ended runs up to {@code upTo} are durable. */
    void acknowledge(long upTo) {
        synchronized (link) {
            lastAcknowledged = Math.max(lastAcknowledged, upTo);
            link.notifyAll();
        }
    }

    void recordReported(long number) {
        synchronized (link) {
            lastReported = Math.max(lastReported, number);
        }
    }

    /** Forgets the numbers of an earlier incarnation. */
    void reset() {
        synchronized (link) {
            lastAcknowledged = 0;
            lastReported = 0;
        }
    }

    /** Returns whether all reported ends are durable. */
    boolean areDurable() {
        synchronized (link) {
            return lastReported <= lastAcknowledged;
        }
    }

    /** Waits up to {@code millis} until all reported ends are durable, so that the next report omits them. */
    void awaitDurable(long millis) {
        long deadline = Clocks.deadlineAfter(millis);
        synchronized (link) {
            while (!areDurable() && !link.isClosed() && Clocks.millisUntil(deadline) > 0) {
                try {
                    link.wait(Math.max(1, Clocks.millisUntil(deadline)));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }
}
