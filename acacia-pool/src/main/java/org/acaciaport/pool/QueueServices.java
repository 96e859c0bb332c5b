package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jboss.logging.Logger;

/**
 * Assigns each unfinished job to the service that runs the tasks of its queue now.
 *
 * <p>The operators' settings decide; a job whose queue they do not have stays with its service. A job may have been
 * accepted under newer settings than the pool has. So a job moves only by settings that are at least as new as the job;
 * until then, nothing of it starts. Runs stay on their targets; whatever starts later follows the queue.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool.
 */
final class QueueServices {
    private static final Logger LOG = Logger.getLogger(QueueServices.class);

    private final TaskLifecycle taskLifecycle;

    /** The services by queue. */
    private Map<String, String> services = Map.of();

    /** Moment as of which these services are known to be the newest; null if that is not known. */
    private ClockReading confirmed;

    /** The unfinished jobs that await a confirmation. */
    private final Set<JobExecution> awaiting = new LinkedHashSet<>();

    /** The services of the jobs that have moved and are not persisted, by job. */
    private final Map<String, String> movedJobs = new LinkedHashMap<>();

    QueueServices(TaskLifecycle taskLifecycle) {
        this.taskLifecycle = taskLifecycle;
    }

    /** Replaces the services by queue. */
    void configure(Map<String, String> configured, Collection<JobExecution> jobs) {
        services = configured;
        review(jobs);
    }

    /** Records that the services are at least as new as the newest ones at {@code asOf}. */
    void confirm(ClockReading asOf) {
        if (confirmed != null && asOf.monotonicNanos() - confirmed.monotonicNanos() <= 0) {
            return;
        }
        confirmed = asOf;
        review(List.copyOf(awaiting));
    }

    /** Returns whether a job awaits a confirmation. */
    boolean awaitsConfirmation() {
        return !awaiting.isEmpty();
    }

    /** Adds a job that the pool got at {@code now}. */
    void add(JobExecution job, ClockReading now) {
        job.receivedNanos = now.monotonicNanos();
        assign(job);
    }

    private void review(Collection<JobExecution> jobs) {
        Map<Move, Integer> moves = new HashMap<>();
        for (JobExecution job : jobs) {
            String from = job.spec.service();
            assign(job);
            if (!job.spec.service().equals(from)) {
                moves.merge(new Move(job.spec.queue(), from, job.spec.service()), 1, Integer::sum);
            }
        }
        moves.forEach((move, count) -> LOG.infof(
                "queue: queue=%s from=%s to=%s jobs=%s outcome=moved", move.queue, move.from, move.to, count));
    }

    /**
     * The way of jobs to another service.
     *
     * @param queue name of the queue
     * @param from the service that ran its tasks
     * @param to the service that runs its tasks
     */
    private record Move(String queue, String from, String to) {}

    /** Gives a job the service of its queue, or holds it back while that service is not certain. */
    private void assign(JobExecution job) {
        if (job.state.isTerminal()) {
            setAwaits(job, false);
            return;
        }
        String service = services.getOrDefault(job.spec.queue(), job.spec.service());
        boolean moves = !service.equals(job.spec.service());
        setAwaits(job, moves && !isConfirmedFor(job));
        if (!moves) {
            return;
        }
        cancelReservations(job);
        if (!job.awaitsService) {
            job.spec = job.spec.withService(service);
            movedJobs.put(job.spec.id(), service);
        }
    }

    private void setAwaits(JobExecution job, boolean awaits) {
        job.awaitsService = awaits;
        if (awaits) {
            awaiting.add(job);
        } else {
            awaiting.remove(job);
        }
    }

    private boolean isConfirmedFor(JobExecution job) {
        return confirmed != null && confirmed.monotonicNanos() - job.receivedNanos >= 0;
    }

    private void cancelReservations(JobExecution job) {
        for (TaskExecution task : job.tasks()) {
            if (task.phase == Phase.RESERVED) {
                taskLifecycle.cancelReservation(task);
            }
        }
    }

    /** Returns and clears the services of the jobs that have moved, by job. */
    Map<String, String> takeMovedJobs() {
        Map<String, String> taken = new LinkedHashMap<>(movedJobs);
        movedJobs.clear();
        return taken;
    }
}
