package org.acaciaport.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.acaciaport.pool.ClockReading;

/**
 * Finds targets whose work is orphaned: a new leader's log shows runs on them, but they are not registered and so
 * cannot be asked for a report.
 *
 * <p>Immutable. Such runs have ended once every lease that an earlier leader may have granted has expired.
 */
final class OrphanDetector {
    private final EarlierLeases earlierLeases;

    /** Creates a detector for one term. */
    OrphanDetector(EarlierLeases earlierLeases) {
        this.earlierLeases = earlierLeases;
    }

    /**
     * Returns the targets whose runs have ended because their leases have expired.
     *
     * @param occupied targets that may have runs
     * @param polled targets with a session, whose reports decide instead
     */
    List<String> findExpired(Collection<String> occupied, Set<String> polled, ClockReading now) {
        List<String> expired = new ArrayList<>();
        for (String id : occupied) {
            if (!polled.contains(id) && now.monotonicNanos() - earlierLeases.endNanos(id) >= 0) {
                expired.add(id);
            }
        }
        return expired;
    }
}
