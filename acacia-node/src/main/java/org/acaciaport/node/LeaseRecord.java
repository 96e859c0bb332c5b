package org.acaciaport.node;

import java.util.Objects;

/**
 * States that the leases of a target run out: no lease that a leader has granted ends later than a time after this
 * record was sent, and none is granted while this record is the newest one of its target.
 *
 * <p>Immutable. A leader writes it about a silent target that may have runs, and deletes it before it grants the target
 * a lease again. So a later leader need not wait for leases that this one cannot have granted.
 *
 * @param target id of the target
 * @param remainingMillis time after which all leases have expired, in milliseconds
 */
record LeaseRecord(String target, long remainingMillis) {
    /** Requires a target. */
    LeaseRecord {
        Objects.requireNonNull(target, "target");
    }
}
