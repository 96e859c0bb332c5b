package org.acaciaport.decision;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePSet;

/**
 * The unfinished requests of one data centre, with their queues, timers and accounting.
 *
 * <p>Immutable.
 *
 * @param jobs unfinished requests by identifier
 * @param queues the requests that wait for a place and are not held back by a retry delay
 * @param timers the timers that are not due yet
 * @param unitsByAccount accelerators in use, by account
 * @param retryBudgets retry budgets, by profile
 * @param runTimes recent run times, by profile
 * @param nextSequence sequence number of the next request to arrive
 * @param lastAttempt number of the latest attempt
 * @param paused identifiers of requests that are paused on a target
 * @param largeJob identifier of the large job for which places are set aside; empty if none
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
    /** Returns the empty workload of a new leader, whose attempts are numbered from {@code lastAttempt} + 1. */
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
