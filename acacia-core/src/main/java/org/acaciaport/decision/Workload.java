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
 * @param unitsByAccount accelerators in use by account
 * @param retryBudgets retry budgets by profile
 * @param runTimes observed run times by profile
 * @param nextSequence arrival number of the next request
 * @param lastAttempt number of the latest attempt
 * @param paused identifiers of paused requests
 * @param largeJob identifier of the large job for which places are set aside
 */
public record Workload(
        PMap<String, Job> jobs,
        Queues queues,
        TreePSet<Timer> timers,
        PMap<String, Integer> unitsByAccount,
        PMap<String, RetryBudget> retryBudgets,
        PMap<String, RunTimes> runTimes,
        long nextSequence,
        long lastAttempt,
        PSet<String> paused,
        Optional<String> largeJob) {
    /** Returns the work of a new scheduler whose attempts are numbered from {@code lastAttempt} + 1. */
    static Workload startingAfter(long lastAttempt) {
        return new Workload(
                HashTreePMap.empty(),
                Queues.EMPTY,
                TreePSet.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                0,
                lastAttempt,
                HashTreePSet.empty(),
                Optional.empty());
    }
}
