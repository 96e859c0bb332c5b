package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Step;
import org.jboss.logging.Logger;

/**
 * Answers callers: takes jobs in, says how far they are, cancels them.
 *
 * <p>Safe for use by several threads. A job is accepted only once it is durable. A refusal means that this node has
 * written nothing for the request; when that is not known, the answer is {@link Answer.Undetermined}.
 */
public final class JobService {
    private static final Logger LOG = Logger.getLogger(JobService.class);

    /** Age up to which the copy of the jobs may be used to say that there is no such job, in milliseconds. */
    private static final long FRESH_MILLIS = 1_000;

    /** Age of the copy of the jobs from which on callers are better served elsewhere, in milliseconds. */
    private static final long READY_MILLIS = 1_500;

    /** Pause before an append whose outcome is not known is sent again, in milliseconds. */
    private static final long AGAIN_MILLIS = 80;

    /** Pause of callers while the log cannot be reached by anybody, in seconds. */
    private static final int OUTAGE_PAUSE_SECONDS = 1;

    /** Time left to a caller to receive an answer, in milliseconds. */
    private static final long ANSWER_MILLIS = 40;

    private final Topics topics;
    private final FailoverLog log;
    private final Replica replica;
    private final TopicConsumer jobs;
    private final ConfigurationView operators;
    private final long configurationMaxAgeMillis;
    private final MetricRegistry metrics;

    JobService(
            Term.Dependencies dependencies,
            TopicConsumer jobs,
            long configurationMaxAgeMillis,
            MetricRegistry metrics) {
        this.topics = dependencies.topics();
        this.log = dependencies.log();
        this.replica = dependencies.replica();
        this.operators = dependencies.operators();
        this.jobs = jobs;
        this.configurationMaxAgeMillis = configurationMaxAgeMillis;
        this.metrics = metrics;
    }

    /** Where a call goes and on whose behalf. */
    public sealed interface Access {
        /**
         * The call may go on.
         *
         * @param queue its queue
         * @param account the client account; empty on open queues
         * @param pathSuffix what follows the queue's prefix in the path
         */
        record Granted(OperatorConfiguration.Queue queue, String account, String pathSuffix) implements Access {}

        /** There is no such queue. */
        record NoQueue() implements Access {}

        /** The key belongs to no client account. */
        record UnknownKey() implements Access {}

        /** This node does not know for sure what is published now. */
        record StaleConfiguration(String reason) implements Access {}
    }

    /** What a caller is told. */
    public sealed interface Answer {
        /** The job is durable, or its cancelling is. */
        record Accepted() implements Answer {}

        /** How far the job is. */
        record State(JobState state) implements Answer {}

        /** There is no such job. */
        record NoJob() implements Answer {}

        /**
         * Nothing was done, and the request may come again.
         *
         * @param reason why
         */
        record Refused(String reason) implements Answer {}

        /**
         * The outcome is not known; the same request may come again.
         *
         * @param reason why
         */
        record Undetermined(String reason) implements Answer {}
    }

    /**
     * Finds the queue and the client account of a call.
     *
     * @param host host without port
     * @param path path of the URL
     * @param key API key; null without one
     */
    public Access authorize(String host, String path, String key) {
        OperatorConfiguration configuration = operators.configuration();
        ClockReading asOf = operators.asOf();
        if (configuration == null || asOf == null) {
            return new Access.StaleConfiguration("no configuration yet");
        }
        long age = Clocks.age(asOf);
        if (age > configurationMaxAgeMillis) {
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

    /** Returns whether this node can serve, as far as it knows. */
    public boolean isReady() {
        ClockReading asOf = operators.asOf();
        ClockReading copy = replica.asOf();
        return asOf != null
                && copy != null
                && operators.configuration() != null
                && Clocks.age(asOf) < configurationMaxAgeMillis
                && Clocks.age(copy) < READY_MILLIS;
    }

    /**
     * Returns when a refused caller should come back, in seconds: at once if only this node seems to be cut off, since
     * the next try reaches another one; else after a pause in which the log may return.
     */
    public int retryAfterSeconds() {
        return log.alone() ? 0 : OUTAGE_PAUSE_SECONDS;
    }

    /** Takes a job in. {@code deadline} is a reading of the steady clock. */
    public Answer submit(
            Access.Granted access, String id, String payload, List<Step> steps, Job.Schedule schedule, long deadline) {
        JobEntry known = replica.find(id);
        if (known != null) {
            return new Answer.Accepted();
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
        Answer answer = write(JobRecords.job(job), deadline);
        LOG.infof("submit: request=%s queue=%s account=%s outcome=%s", id, queue.name(), access.account(), answer);
        return answer;
    }

    /**
     * Makes a record durable. If the log cannot be reached after an append without an answer, the caller is told so
     * while it still has time to try another node.
     */
    private Answer write(KeyedRecord record, long deadline) {
        long until = deadline - ANSWER_MILLIS * Clocks.NANOS_PER_MILLI;
        if (!log.reachable()) {
            return new Answer.Refused("the log cannot be reached now");
        }
        Append append = new Append(topics.jobs(), List.of(record), new Append.Always());
        AppendOutcome outcome = metrics.timer("append").timeSupplier(() -> log.append(append, until));
        while (outcome instanceof AppendOutcome.Unknown
                && log.reachable()
                && Clocks.millisUntil(until) > AGAIN_MILLIS
                && Clocks.sleep(AGAIN_MILLIS)) {
            AppendOutcome again = log.append(append, until);
            outcome = again instanceof AppendOutcome.Refused ? outcome : again;
        }
        return switch (outcome) {
            case AppendOutcome.Appended appended -> new Answer.Accepted();
            case AppendOutcome.Refused refused -> new Answer.Refused(refused.reason());
            case AppendOutcome.Unknown unknown -> new Answer.Undetermined(unknown.reason());
            case AppendOutcome.NotAtEnd other -> new Answer.Undetermined("unexpected condition");
            case AppendOutcome.OutOfSequence other -> new Answer.Undetermined("unexpected sequence");
            case AppendOutcome.Deposed deposed -> new Answer.Undetermined("unexpected epoch");
        };
    }

    /**
     * Returns what the log says of the account's job; null if there is none for sure.
     *
     * @throws NotCurrentException if the copy has no such job and cannot be made current in time
     */
    private JobEntry find(Access.Granted access, String id, long deadline) throws NotCurrentException {
        JobEntry entry = replica.find(id);
        if (entry == null) {
            if (!jobs.catchUp(deadline - ANSWER_MILLIS * Clocks.NANOS_PER_MILLI)) {
                throw new NotCurrentException();
            }
            entry = replica.find(id);
        }
        return entry == null || !entry.job().account().equals(access.account()) ? null : entry;
    }

    /** Thrown when this node cannot tell whether a job exists. */
    private static final class NotCurrentException extends Exception {
        private static final long serialVersionUID = 1L;

        Answer answer() {
            return new Answer.Refused("this node's copy of the jobs is not current");
        }
    }

    /** Says how far a job is. */
    public Answer queryState(Access.Granted access, String id, long deadline) {
        try {
            JobEntry entry = find(access, id, deadline);
            return entry == null ? new Answer.NoJob() : new Answer.State(entry.state());
        } catch (NotCurrentException e) {
            return e.answer();
        }
    }

    /** Cancels a job. */
    public Answer cancel(Access.Granted access, String id, long deadline) {
        try {
            JobEntry entry = find(access, id, deadline);
            if (entry == null) {
                return new Answer.NoJob();
            }
            if (entry.state().isTerminal()) {
                return new Answer.Accepted();
            }
        } catch (NotCurrentException e) {
            return e.answer();
        }
        Answer answer = write(JobRecords.cancel(new CancelRecord(id, System.currentTimeMillis())), deadline);
        LOG.infof("cancel: request=%s account=%s outcome=%s", id, access.account(), answer);
        return answer;
    }

    /** Returns how many accepted jobs of the queue have no started task, or -1 if that is not known. */
    public long countPending(Access.Granted access) {
        ClockReading asOf = replica.asOf();
        return asOf == null || Clocks.age(asOf) > FRESH_MILLIS
                ? -1
                : replica.countPending(access.queue().name());
    }
}
