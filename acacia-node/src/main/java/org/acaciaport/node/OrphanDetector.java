package org.acaciaport.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.acaciaport.pool.ClockReading;

/**
 * Judges work that a new leader finds on targets that are not registered, and so cannot be asked.
 *
 * <p>Immutable. Such work counts as over once no lease that an earlier leader may have granted can run any more.
 */
final class OrphanDetector {
    private final long leasesOverNanos;

    /**
     * Creates a judge for one term.
     *
     * @param leasesOverNanos when the leases of earlier leaders are over, on the steady clock, in nanoseconds
     */
    OrphanDetector(long leasesOverNanos) {
        this.leasesOverNanos = leasesOverNanos;
    }

    /** Returns the targets among {@code occupied} whose work is over. Those in {@code asked} are judged by reports. */
    List<String> over(Collection<String> occupied, Set<String> asked, ClockReading now) {
        List<String> over = new ArrayList<>();
        if (now.monotonicNanos() - leasesOverNanos < 0) {
            return over;
        }
        for (String id : occupied) {
            if (!asked.contains(id)) {
                over.add(id);
            }
        }
        return over;
    }
}
