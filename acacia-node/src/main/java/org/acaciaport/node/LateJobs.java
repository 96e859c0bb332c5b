package org.acaciaport.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;

/**
 * Counts the jobs that were accepted and have completed when they were of no use any more; neither cancelled nor
 * failed ones.
 *
 * <p>Confined to the thread of the term. Jobs whose end an earlier leader has written are not counted again.
 */
final class LateJobs {
    /** Number of ended jobs that are remembered, since the progress of one may be written several times. */
    private static final int MAX_REMEMBERED = 10_000;

    /** Percentage of the declared durations that jobs of a queue without a known one take. */
    private static final int DECLARED_PERCENT = 100;

    private final Replica replica;
    private final Counter acceptedLate;
    private final Set<String> counted = new LinkedHashSet<>();

    LateJobs(Replica replica, MetricRegistry metrics) {
        this.replica = replica;
        acceptedLate = metrics.counter("admission.accepted-late");
    }

    /** Counts the jobs that have completed late among {@code records}. */
    void record(List<JobProgress> records) {
        for (JobProgress progress : records) {
            if (progress.state() == JobState.DONE && !counted.contains(progress.id())) {
                record(progress);
            }
        }
    }

    private void record(JobProgress progress) {
        JobEntry entry = replica.find(progress.id());
        boolean written = entry != null
                && entry.progress() != null
                && entry.progress().state().isTerminal();
        if (entry == null || written || !isSingle(entry.job())) {
            return;
        }
        int percent =
                replica.declaredDurationPercents().getOrDefault(entry.job().queue(), DECLARED_PERCENT);
        if (progress.endedMillis() > entry.job().latestUsefulEndMillis(percent)) {
            acceptedLate.inc();
        }
        counted.add(progress.id());
        if (counted.size() > MAX_REMEMBERED) {
            counted.remove(counted.iterator().next());
        }
    }

    private static boolean isSingle(Job job) {
        return job.schedule().times() == 0
                && job.steps().stream().noneMatch(step -> step.mode().lasting());
    }
}
