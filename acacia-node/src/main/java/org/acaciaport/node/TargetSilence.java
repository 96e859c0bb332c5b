package org.acaciaport.node;

import java.util.OptionalLong;
import org.jboss.logging.Logger;

/**
 * Whether a target answers requests for reports.
 *
 * <p>Thread-safe; its state is guarded by the lock of the link.
 */
final class TargetSilence {
    private static final Logger LOG = Logger.getLogger(TargetSilence.class);

    private final TargetLink link;

    /** Since when the target has not answered, on the monotonic clock; empty if its report came last. */
    private OptionalLong sinceNanos = OptionalLong.of(System.nanoTime());

    /** Whether the target has left the last request unanswered. */
    private boolean unresponsive;

    TargetSilence(TargetLink link) {
        this.link = link;
    }

    OptionalLong sinceNanos() {
        synchronized (link) {
            return sinceNanos;
        }
    }

    boolean isUnresponsive() {
        synchronized (link) {
            return unresponsive;
        }
    }

    void recordAnswer() {
        synchronized (link) {
            sinceNanos = OptionalLong.empty();
            if (unresponsive) {
                unresponsive = false;
                LOG.infof("dependency: target=%s outcome=regained", link.id());
            }
        }
    }

    void recordNoAnswer(String reason) {
        synchronized (link) {
            if (sinceNanos.isEmpty()) {
                sinceNanos = OptionalLong.of(System.nanoTime());
            }
            if (!unresponsive) {
                unresponsive = true;
                LOG.infof("dependency: target=%s outcome=lost reason=%s", link.id(), reason);
            }
        }
    }
}
