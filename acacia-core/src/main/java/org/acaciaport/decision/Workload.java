package org.acaciaport.decision;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePSet;

/**
 * The unfinished requests of one data centre and what is due for them.
 *
 * <p>Immutable.
 *
 * @param jobs unfinished requests by identifier
 * @param queues those that wait for a place and may be placed now
 * @param timers what is due later
 * @param units accelerators in use by account
 * @param budgets retry budgets by profile
 * @param runTimes observed run times by profile
 * @param nextSequence arrival number of the next request
 * @param nextAttempt number of the next attempt
 * @param parked identifiers of paused requests
 * @param drain identifier of the large job for which places are set aside
 */
public record Workload(
        PMap<String, Job> jobs,
        Queues queues,
        TreePSet<Timer> timers,
        PMap<String, Integer> units,
        PMap<String, RetryBudget> budgets,
        PMap<String, RunTimes> runTimes,
        long nextSequence,
        long nextAttempt,
        PSet<String> parked,
        Optional<String> drain) {
    /** Returns the work of a new scheduler whose attempts are numbered from {@code firstAttempt}. */
    static Workload startingAt(long firstAttempt) {
        return new Workload(
                HashTreePMap.empty(),
                Queues.EMPTY,
                TreePSet.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                0,
                firstAttempt,
                HashTreePSet.empty(),
                Optional.empty());
    }
}
