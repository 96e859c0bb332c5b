package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.junit.jupiter.api.Test;

/** Tests what a later leader reads of the services that jobs have followed their queues to. */
final class ServiceRecordTest {
    private final Replica replica = new Replica();
    private long offset;

    private void read(KeyedRecord record) {
        replica.apply(record, offset);
        offset++;
        replica.caughtUp(Clocks.now(), offset);
    }

    private static KeyedRecord job() {
        Step step = new Step(1, Resources.NONE, 1, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(1, 3, 1.5, 250);
        return JobRecords.encode(
                new Job("a", "queue", "former", "account", terms, "payload", List.of(step), Job.Schedule.NOW, 1));
    }

    private String service() {
        return replica.find("a").movedJob().service();
    }

    /** Guards against jobs that go back to an earlier service at a takeover, in each order of the records. */
    @Test
    void theLastRecordOfTheServiceCounts() {
        read(JobRecords.encode(new ServiceRecord("a", "latter")));
        assertThat(replica.find("a")).isNull();
        read(job());
        assertThat(service()).isEqualTo("latter");
        read(JobRecords.encode(new ServiceRecord("a", "former")));
        assertThat(service()).isEqualTo("former");
        read(JobRecords.encode(new ServiceRecord("a", "last")));
        read(job());
        assertThat(service()).isEqualTo("last");
    }

    /** Guards against a job that gets the service of an earlier job of its id, which has ended and was removed. */
    @Test
    void aDeletedRecordLeavesTheServiceOfTheAcceptance() {
        read(job());
        KeyedRecord moved = JobRecords.encode(new ServiceRecord("a", "latter"));
        read(moved);
        read(KeyedRecord.tombstone("job/a"));
        read(KeyedRecord.tombstone(moved.key()));
        read(job());
        assertThat(service()).isEqualTo("former");
    }
}
