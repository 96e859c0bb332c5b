package org.acaciaport.pool;

/**
 * The speed that the targets of a unit need.
 *
 * <p>Immutable.
 *
 * @param speed lowest speed, relative to the nominal one; 0 if any will do
 * @param probable whether a target must very probably have that speed, rather than be expected to have it
 */
record SpeedLimit(double speed, boolean probable) {
    /** Accepts all targets. */
    static final SpeedLimit NONE = new SpeedLimit(0, false);

    /** Returns whether {@code target} is fast enough, as far as is known. */
    boolean accepts(TargetState target) {
        return (probable ? target.probableSpeed : target.speed) >= speed;
    }
}
