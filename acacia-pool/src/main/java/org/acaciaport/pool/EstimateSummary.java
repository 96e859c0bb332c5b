package org.acaciaport.pool;

import java.util.Collection;
import java.util.Map;
import org.acaciaport.estimate.EstimateAccuracy;

/**
 * How good the estimates of a pool are.
 *
 * <p>Immutable.
 *
 * @param queues accuracy of declared and learned durations by queue, as far as steps have ended in this term
 * @param knownTargets number of registered targets whose speed is known
 * @param slowest lowest known speed relative to the nominal one; 0 if none is known
 * @param fastest highest known speed relative to the nominal one; 0 if none is known
 */
public record EstimateSummary(
        Map<String, EstimateAccuracy.Accuracy> queues, int knownTargets, double slowest, double fastest) {
    /** Creates a summary with an immutable copy of {@code queues}. */
    public EstimateSummary {
        queues = Map.copyOf(queues);
    }

    static EstimateSummary of(EstimateAccuracy accuracy, Collection<TargetState> targets) {
        int known = 0;
        double slowest = 0;
        double fastest = 0;
        for (TargetState target : targets) {
            if (target.registered && target.speedKnown) {
                slowest = known == 0 ? target.speed : Math.min(slowest, target.speed);
                fastest = Math.max(fastest, target.speed);
                known++;
            }
        }
        return new EstimateSummary(accuracy.all(), known, slowest, fastest);
    }
}
