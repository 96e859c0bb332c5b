package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import org.acaciaport.failure.Failures;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.Pool;
import org.jboss.logging.Logger;

/**
 * Adds the jobs of the log to the pool of a term. A job that the pool rejects is left out, as it would end each later
 * term too.
 *
 * <p>Confined to the thread of the term.
 */
final class JobIntake {
    private static final Logger LOG = Logger.getLogger(JobIntake.class);

    private final Pool pool;
    private final TermWriter writer;

    JobIntake(Pool pool, TermWriter writer) {
        this.pool = pool;
        this.writer = writer;
    }

    /** Adds jobs with their progress and cancellations, as the log has them. */
    void restore(List<JobEntry> entries, ClockReading now) {
        List<CancelRecord> cancels = new ArrayList<>();
        for (JobEntry entry : entries) {
            if (entry.job() == null) {
                continue;
            }
            skipIfRejected(entry.job(), () -> restore(entry, now));
            if (entry.service() != null) {
                writer.restore(entry.service());
            }
            if (entry.cancel() != null) {
                cancels.add(entry.cancel());
            }
        }
        cancels.forEach(cancel -> pool.cancel(cancel.id(), now));
    }

    private void restore(JobEntry entry, ClockReading now) {
        JobProgress progress = entry.progress();
        if (progress == null) {
            pool.submit(entry.movedJob(), now);
            return;
        }
        try {
            pool.restore(entry.movedJob(), progress, now);
            writer.restore(entry);
        } catch (RuntimeException e) {
            // With a part of its progress, the job could run finished tasks again.
            pool.removeJob(entry.job().id());
            throw e;
        }
    }

    /** Adds a job that was just submitted. */
    void submit(Job job, ClockReading now) {
        skipIfRejected(job, () -> pool.submit(job, now));
    }

    private static void skipIfRejected(Job job, Runnable add) {
        try {
            add.run();
        } catch (RuntimeException e) {
            LOG.errorf(
                    "accept: request=%s queue=%s outcome=skipped reason=%s",
                    job.id(), job.queue(), Failures.reasonOf(e));
        }
    }
}
