package org.acaciaport.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.wire.Codecs;

/**
 * Encodes the product's own records of the log, in MessagePack. The first characters of the key tell the kind.
 *
 * <p>Stateless.
 */
final class JobRecords {
    static final String JOB = "job/";
    static final String PROGRESS = "progress/";
    static final String CANCEL = "cancel/";
    static final String NODE = "node/";
    static final String LEADER = "leader";

    private JobRecords() {}

    static KeyedRecord job(Job job) {
        return record(JOB + job.id(), job);
    }

    static KeyedRecord progress(JobProgress progress) {
        return record(PROGRESS + progress.id(), progress);
    }

    static KeyedRecord cancel(CancelRecord cancel) {
        return record(CANCEL + cancel.id(), cancel);
    }

    static KeyedRecord node(NodeRecord node) {
        return record(NODE + node.name(), node);
    }

    static KeyedRecord leader(LeaderRecord leader) {
        return record(LEADER, leader);
    }

    private static KeyedRecord record(String key, Object value) {
        try {
            return new KeyedRecord(key, Codecs.messagePack().writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("record of a known type cannot be encoded: " + key, e);
        }
    }

    /**
     * Decodes the value of a record.
     *
     * @throws IOException if it has another shape
     */
    static <T> T read(KeyedRecord record, Class<T> type) throws IOException {
        return Codecs.messagePack().readValue(record.value(), type);
    }

    /** Encodes and decodes a record of each kind. */
    static void warmUp() throws IOException {
        Step step = new Step(1, Resources.NONE, 1, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job job = new Job("j", "q", "s", "a", new Job.Terms(0, 1, 1, 1), "", List.of(step), Job.Schedule.NOW, 0);
        read(job(job), Job.class);
        JobProgress.Task task = new JobProgress.Task(0, 0, 0, 1, 0, false, "t", 1, "");
        read(progress(new JobProgress("j", JobState.RUNNING, 0, List.of(), List.of(task))), JobProgress.class);
        read(cancel(new CancelRecord("j", 0)), CancelRecord.class);
        read(node(new NodeRecord("n", "a")), NodeRecord.class);
        read(leader(new LeaderRecord("n", 0, false)), LeaderRecord.class);
    }
}
