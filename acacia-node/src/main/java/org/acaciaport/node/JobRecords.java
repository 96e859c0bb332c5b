package org.acaciaport.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
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
}
