package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Step;
import org.jboss.logging.Logger;

/**
 * Serves callers: accepts jobs, returns their states, and cancels them.
 *
 * <p>Thread-safe. A job is accepted only once it is durable. {@link Answer.Refused} means that this node has written
 * nothing for the request; when that is not certain, the answer is {@link Answer.Undetermined}.
 */
public final class JobService {
    private static final Logger LOG = Logger.getLogger(JobService.class);

    /** Staleness of the replica up to which its number of pending jobs is reported, in milliseconds. */
    private static final long MAX_COUNT_STALENESS_MILLIS = 1_000;

    /** Staleness of the replica from which this node is not ready, so that callers use another one, in milliseconds. */
    private static final long MAX_READY_STALENESS_MILLIS = 1_500;

    /** Retry-After for callers while no node reaches the log, in seconds. */
    private static final int OUTAGE_RETRY_AFTER_SECONDS = 1;

    /** Retry-After for callers whose job exceeds a limit, in seconds: only a new configuration helps. */
    private static final int OVER_LIMIT_RETRY_AFTER_SECONDS = 30;

    /** Part of a caller's deadline that is reserved for delivering the answer, in milliseconds. */
    static final long ANSWER_RESERVE_MILLIS = 40;

    private final FailoverLog log;
    private final Replica replica;
    private final ConfigurationView configurationView;
    private final long maxConfigurationAgeMillis;
    private final MetricRegistry metrics;
    private final Supplier<SchedulingSettings> scheduling;
    private final AdmissionControl admission;
    private final JobAppender appender;
    private final JobFinder finder;

    JobService(Term.Dependencies dependencies, TopicConsumer jobConsumer, long maxConfigurationAgeMillis) {
        this.log = dependencies.log();
        this.replica = dependencies.replica();
        this.configurationView = dependencies.configuration();
        this.maxConfigurationAgeMillis = maxConfigurationAgeMillis;
        this.metrics = dependencies.metrics();
        scheduling = dependencies.scheduling();
        admission = new AdmissionControl(dependencies);
        appender = new JobAppender(dependencies);
        finder = new JobFinder(dependencies.replica(), jobConsumer);
    }

    /** The result of authorizing a call. */
    public sealed interface Access {
        /**
         * The call is authorized.
         *
         * @param queue the queue that the call addresses
         * @param account the client account; empty for anonymous callers
         * @param pathSuffix what follows the queue's prefix in the path
         */
        record Granted(OperatorConfiguration.Queue queue, String account, String pathSuffix) implements Access {}

        /** There is no such queue. */
        record NoQueue() implements Access {}

        /** The API key belongs to no client account. */
        record UnknownKey() implements Access {}

        /** This node cannot confirm that its configuration is the latest one. */
        record StaleConfiguration(String reason) implements Access {}
    }

    /** The answer to a call. */
    public sealed interface Answer {
        /** The job or its cancellation is durable. */
        record Accepted() implements Answer {}

        /** The state of the job. */
        record State(JobState state) implements Answer {}

        /** There is no such job. */
        record NoJob() implements Answer {}

        /**
         * Nothing was written; the request may be retried.
         *
         * @param reason why
         */
        record Refused(String reason) implements Answer {}

        /**
         * Nothing was written: the job would start when it is of no use. It may be sent again.
         *
         * @param reason why
         * @param expectedStartMillis when it would be expected to start, in milliseconds since the Unix epoch
         * @param latestStartMillis when it would have to start to be of use, in milliseconds since the Unix epoch
         * @param retryAfterSeconds when the caller should return, in seconds from now
         */
        record Overloaded(String reason, long expectedStartMillis, long latestStartMillis, int retryAfterSeconds)
                implements Answer {}

        /**
         * Nothing was written, and the same request will never be: the log has no room for its record.
         *
         * @param reason why
         */
        record TooLarge(String reason) implements Answer {}

        /**
         * Nothing was written: a part of the job that starts only as a whole exceeds a limit of its client account. The
         * same request may be accepted once operators have raised the limit.
         *
         * @param reason account, resource, limit and demand
         * @param retryAfterSeconds when to retry, in seconds
         */
        record OverLimit(String reason, int retryAfterSeconds) implements Answer {}

        /**
         * The outcome is unknown. The service allows a retry of the same request, since requests are idempotent, but
         * callers do not retry once their deadline has passed.
         *
         * @param reason why
         */
        record Undetermined(String reason) implements Answer {}
    }

    /**
     * Determines the queue and the client account of a call.
     *
     * @param host host without port
     * @param path path of the URL
     * @param key API key; null if the call has none
     */
    public Access authorize(String host, String path, String key) {
        OperatorConfiguration configuration = configurationView.latest();
        ClockReading asOf = configurationView.asOf();
        if (configuration == null || asOf == null) {
            return new Access.StaleConfiguration("no configuration yet");
        }
        long age = Clocks.ageMillis(asOf);
        if (age > maxConfigurationAgeMillis) {
            return new Access.StaleConfiguration("configuration was last confirmed " + age + " ms ago");
        }
        OperatorConfiguration.Queue queue = configuration.findQueue(host, path);
        if (queue == null) {
            return new Access.NoQueue();
        }
        String account = key == null ? null : configuration.accountsByKey().get(key);
        if (account == null && !queue.allowsAnonymous()) {
            return new Access.UnknownKey();
        }
        String pathSuffix = path.substring(queue.prefix().length());
        return new Access.Granted(queue, account == null ? "" : account, pathSuffix);
    }

    /** Returns whether this node's configuration and replica are current enough to serve callers. */
    public boolean isReady() {
        ClockReading asOf = configurationView.asOf();
        ClockReading replicaAsOf = replica.asOf();
        return asOf != null
                && replicaAsOf != null
                && configurationView.latest() != null
                && Clocks.ageMillis(asOf) < maxConfigurationAgeMillis
                && Clocks.ageMillis(replicaAsOf) < MAX_READY_STALENESS_MILLIS;
    }

    /**
     * Returns when a refused caller should retry, in seconds: immediately if only this node seems to be partitioned,
     * since the retry reaches another one; otherwise after a delay in which the log may recover.
     */
    public int retryAfterSeconds() {
        return log.isIsolated() ? 0 : OUTAGE_RETRY_AFTER_SECONDS;
    }

    /**
     * Makes a job durable; a job that the replica already has is accepted without another append. Before a job is
     * refused for the load, the replica is brought up to date, so that one that the log has is never refused.
     *
     * @param deadline reading of the monotonic clock by which the caller needs the answer
     */
    public Answer submit(
            Access.Granted access, String id, String payload, List<Step> steps, Job.Schedule schedule, long deadline) {
        if (replica.find(id) != null) {
            return new Answer.Accepted();
        }
        String excess = scheduling.get().accountLimits()
                ? AccountLimitCheck.findExcess(configurationView.latest(), access.account(), steps)
                : "";
        if (!excess.isEmpty()) {
            return refuseOverLimit(access, id, excess, deadline);
        }
        OperatorConfiguration.Queue queue = access.queue();
        Job job = new Job(
                id,
                queue.name(),
                queue.service(),
                access.account(),
                queue.terms(),
                payload,
                steps,
                schedule,
                System.currentTimeMillis());
        Optional<AdmissionControl.Refusal> refusal = admission.findRefusal(job);
        if (refusal.isPresent() && finder.catchUp(deadline)) {
            return replica.find(id) == null ? admission.refuse(refusal.get()) : new Answer.Accepted();
        }
        Answer answer = appender.append(JobRecords.encode(job), deadline);
        LOG.infof("submit: request=%s queue=%s account=%s outcome=%s", id, queue.name(), access.account(), answer);
        return answer;
    }

    /**
     * Refuses a job that exceeds a limit, unless the log has the job already: an earlier call may have been accepted by
     * another node, or before the limit was lowered.
     */
    private Answer refuseOverLimit(Access.Granted access, String id, String excess, long deadline) {
        Answer answer;
        if (!finder.catchUp(deadline)) {
            answer = new JobFinder.StaleReplicaException().answer();
        } else if (replica.find(id) != null) {
            answer = new Answer.Accepted();
        } else {
            metrics.counter("submit.over-limit").inc();
            answer = new Answer.OverLimit(excess, OVER_LIMIT_RETRY_AFTER_SECONDS);
        }
        LOG.infof(
                "submit: request=%s queue=%s account=%s outcome=%s",
                id, access.queue().name(), access.account(), answer);
        return answer;
    }

    /** Returns the state of a job. */
    public Answer queryState(Access.Granted access, String id, long deadline) {
        try {
            JobEntry entry = finder.find(access, id, deadline);
            return entry == null ? new Answer.NoJob() : new Answer.State(entry.state());
        } catch (JobFinder.StaleReplicaException e) {
            return e.answer();
        }
    }

    /** Cancels a job. */
    public Answer cancel(Access.Granted access, String id, long deadline) {
        try {
            JobEntry entry = finder.find(access, id, deadline);
            if (entry == null) {
                return new Answer.NoJob();
            }
            if (entry.state().isTerminal()) {
                return new Answer.Accepted();
            }
        } catch (JobFinder.StaleReplicaException e) {
            return e.answer();
        }
        Answer answer = appender.append(JobRecords.encode(new CancelRecord(id, System.currentTimeMillis())), deadline);
        LOG.infof("cancel: request=%s account=%s outcome=%s", id, access.account(), answer);
        return answer;
    }

    /** Returns how many accepted jobs of the queue have no started task, or -1 if the replica is too stale. */
    public long countPending(Access.Granted access) {
        ClockReading asOf = replica.asOf();
        return asOf == null || Clocks.ageMillis(asOf) > MAX_COUNT_STALENESS_MILLIS
                ? -1
                : replica.countPending(access.queue().name());
    }
}
