package org.acaciaport.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.acaciaport.admission.Outlook;
import org.acaciaport.encoding.MessagePackCheck;
import org.acaciaport.estimate.EstimatesSnapshot;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.RunEnds;
import org.acaciaport.pool.Step;
import org.acaciaport.wire.Codecs;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes the scheduler's own records in the log, in MessagePack. The prefix of a key determines the type
 * of its value.
 */
final class JobRecords {
    static final String JOB_PREFIX = "job/";
    static final String PROGRESS_PREFIX = "progress/";
    static final String TASK_PREFIX = "task/";

    /** Records of the ends of runs; earlier builds skip them. */
    static final String ENDS_PREFIX = "ends/";

    static final String CANCEL_PREFIX = "cancel/";
    static final String NODE_PREFIX = "node/";
    static final String LEADER_KEY = "leader";
    static final String OUTLOOK_KEY = "outlook";
    static final String ESTIMATES_KEY = "estimates";
    static final String DECLARED_DURATIONS_KEY = "declared-durations";
    /** Records of the services of jobs whose queues have moved; earlier builds skip them. */
    static final String SERVICE_PREFIX = "service/";

    static final String LEASE_PREFIX = "lease/";

    /** Largest size of encoded estimates, in bytes. */
    static final int MAX_ESTIMATES_BYTES = 64 * 1_024;

    /** Ends the id of the job in the key of a task; no id contains it. */
    private static final char TASK_SEPARATOR = '/';

    private JobRecords() {}

    static KeyedRecord encode(Job job) {
        return record(JOB_PREFIX + job.id(), job);
    }

    static KeyedRecord encode(JobProgress progress) {
        return record(PROGRESS_PREFIX + progress.id(), ProgressRecord.of(progress));
    }

    /**
     * Decodes the progress of a job.
     *
     * @throws IOException if the value is no progress
     */
    static JobProgress decodeProgress(KeyedRecord record) throws IOException {
        return decode(record, ProgressRecord.class).toProgress();
    }

    /** Encodes the progress of a task under its {@link #taskKey}. */
    static KeyedRecord encode(String key, JobProgress.Task task) {
        return record(key, TaskRecord.of(task));
    }

    /** Encodes what is known of the ends of the runs of a task, under the {@link #endsKey} of its {@link #taskKey}. */
    static KeyedRecord encodeEnds(String taskKey, RunEnds ends) {
        return record(endsKey(taskKey), ends);
    }

    /** Returns the key of the ends of the task with the key {@code taskKey}. */
    static String endsKey(String taskKey) {
        return ENDS_PREFIX + taskKey.substring(TASK_PREFIX.length());
    }

    /** Returns the key of the task with the key {@code endsKey} of its ends. */
    static String taskKeyOfEnds(String endsKey) {
        return TASK_PREFIX + endsKey.substring(ENDS_PREFIX.length());
    }

    /** Returns the key of the record of a task. */
    static String taskKey(String job, JobProgress.Task task) {
        return TASK_PREFIX + job + TASK_SEPARATOR + task.occurrence() + "." + task.step() + "." + task.index();
    }

    /**
     * Returns the id of the job in a key that {@link #taskKey} returned.
     *
     * @throws IOException if another program made the key, and it names no job
     */
    static String jobOfTaskKey(String key) throws IOException {
        return jobOfKey(key).orElseThrow(() -> new IOException("the key names no job"));
    }

    /** Returns whether only leaders write records with this key. */
    static boolean isOfLeader(String key) {
        return key.equals(LEADER_KEY)
                || key.equals(OUTLOOK_KEY)
                || key.equals(ESTIMATES_KEY)
                || key.equals(DECLARED_DURATIONS_KEY)
                || Stream.of(PROGRESS_PREFIX, TASK_PREFIX, ENDS_PREFIX, LEASE_PREFIX, SERVICE_PREFIX)
                        .anyMatch(key::startsWith);
    }

    /** Returns the id of the job that a record with this key is about; empty if it is about none. */
    static Optional<String> jobOfKey(String key) {
        if (key.startsWith(ENDS_PREFIX)) {
            return jobOfKey(taskKeyOfEnds(key));
        }
        if (key.startsWith(TASK_PREFIX)) {
            int end = key.lastIndexOf(TASK_SEPARATOR);
            boolean named = end > TASK_PREFIX.length();
            return named ? Optional.of(key.substring(TASK_PREFIX.length(), end)) : Optional.empty();
        }
        return Stream.of(JOB_PREFIX, PROGRESS_PREFIX, CANCEL_PREFIX, SERVICE_PREFIX)
                .filter(key::startsWith)
                .map(prefix -> key.substring(prefix.length()))
                .findFirst();
    }

    static KeyedRecord encode(CancelRecord cancel) {
        return record(CANCEL_PREFIX + cancel.id(), cancel);
    }

    static KeyedRecord encode(NodeRecord node) {
        return record(NODE_PREFIX + node.name(), node);
    }

    static KeyedRecord encode(LeaseRecord lease) {
        return record(LEASE_PREFIX + lease.target(), lease);
    }

    static KeyedRecord encode(LeaderRecord leader) {
        return record(LEADER_KEY, leader);
    }

    /** Encodes an outlook under its own key, since earlier builds reject unknown fields of the leader's record. */
    static KeyedRecord encode(OutlookRecord outlook) {
        return record(OUTLOOK_KEY, outlook);
    }

    static KeyedRecord encode(DeclaredDurationsRecord durations) {
        return record(DECLARED_DURATIONS_KEY, durations);
    }

    static KeyedRecord encode(ServiceRecord service) {
        return record(SERVICE_PREFIX + service.job(), service);
    }

    /** Returns the decoded value, or null for a tombstone. */
    static <T> T decodeValue(KeyedRecord record, Class<T> type) throws IOException {
        return isTombstone(record) ? null : decode(record, type);
    }

    /** Returns whether a record deletes its key. */
    static boolean isTombstone(KeyedRecord record) {
        return record.value().length == 0;
    }

    /**
     * Decodes an outlook.
     *
     * @throws IOException if the value is no outlook, or one that is not to be believed
     */
    static Outlook decodeOutlook(KeyedRecord record) throws IOException {
        try {
            return decode(record, OutlookRecord.class).toOutlook();
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new IOException("the outlook is absurd: " + e.getMessage(), e);
        }
    }

    /** Encodes estimates under their own key, which earlier builds skip. */
    static KeyedRecord encode(EstimatesSnapshot estimates) {
        return record(ESTIMATES_KEY, estimates);
    }

    /**
     * Decodes estimates.
     *
     * @throws IOException if the value is not estimates of the version that this build knows
     */
    static EstimatesSnapshot decodeEstimates(KeyedRecord record) throws IOException {
        EstimatesSnapshot estimates = decode(record, EstimatesSnapshot.class);
        if (estimates.version() != EstimatesSnapshot.VERSION) {
            throw new IOException("the version is " + estimates.version());
        }
        return estimates;
    }

    /** Returns whether a term goes on without the record with this key if the log never takes it. */
    static boolean isOptional(String key) {
        return key.equals(ESTIMATES_KEY);
    }

    private static KeyedRecord record(String key, Object value) {
        try {
            return new KeyedRecord(key, Codecs.messagePack().writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("cannot encode record " + key, e);
        }
    }

    /**
     * Decodes the value of a record.
     *
     * @throws IOException if the value is not an encoded {@code type}
     */
    static <T> T decode(KeyedRecord record, Class<T> type) throws IOException {
        MessagePackCheck.requireComplete(record.value());
        try {
            T value = Codecs.messagePack().readValue(record.value(), type);
            if (value == null) {
                throw new IOException("the value is nil");
            }
            return value;
        } catch (MessagePackException e) {
            throw new IOException("the value is not MessagePack", e);
        }
    }

    /** Encodes and decodes a record of each type. */
    static void warmUp() throws IOException {
        Step step = new Step(1, Resources.NONE, 1, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job job = new Job("j", "q", "s", "a", new Job.Terms(0, 1, 1, 1), "", List.of(step), Job.Schedule.NOW, 0);
        decode(encode(job), Job.class);
        JobProgress.Task task = new JobProgress.Task(0, 0, 0, 1, 0, false, "t", 1, "");
        decode(encode(taskKey("j", task), task), TaskRecord.class);
        decode(encodeEnds(taskKey("j", task), RunEnds.NONE), RunEnds.class);
        decodeProgress(encode(new JobProgress("j", JobState.RUNNING, 0, List.of(), List.of())));
        decode(encode(new CancelRecord("j", 0)), CancelRecord.class);
        decode(encode(new NodeRecord("n", "a", VmCapacity.UNKNOWN)), NodeRecord.class);
        decode(encode(new LeaderRecord("n", 0, false)), LeaderRecord.class);
        decodeOutlook(encode(OutlookRecord.of(Outlook.NO_WAIT)));
        decode(encode(DeclaredDurationsRecord.NONE), DeclaredDurationsRecord.class);
        decode(encode(new ServiceRecord("j", "s")), ServiceRecord.class);
        decode(encode(new LeaseRecord("t", 1)), LeaseRecord.class);
        decodeEstimates(encode(new Pool().estimatesSnapshot()));
    }
}
