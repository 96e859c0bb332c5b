package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.wire.Codecs;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Tests what a replica does with records that another program wrote into its topic. */
final class OddRecordTest {
    private static final int NESTING_DEPTH = 100_000;

    /** MessagePack codes of nil, an array of one, and an array and a text whose lengths have four bytes. */
    private static final byte NIL = (byte) 0xc0;

    private static final byte ARRAY_OF_ONE = (byte) 0x91;
    private static final byte ARRAY = (byte) 0xdd;
    private static final byte TEXT = (byte) 0xdb;

    private static Job job(String id) {
        Step first = new Step(1, Resources.NONE, 1, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Step second = new Step(1, Resources.NONE, 1, List.of(0), Step.Constraints.NONE, Step.Mode.PLAIN);
        return new Job(id, "q", "s", "a", new Job.Terms(0, 1, 1, 1), "", List.of(first, second), Job.Schedule.NOW, 0);
    }

    /** A field of a record, and the value that it gets in place of its own. */
    private record Change(String field, Object value) {}

    private static KeyedRecord change(KeyedRecord record, Change change) throws IOException {
        ObjectNode tree = (ObjectNode) Codecs.messagePack().readTree(record.value());
        assertThat(tree.has(change.field())).isTrue();
        tree.set(change.field(), Codecs.messagePack().valueToTree(change.value()));
        return new KeyedRecord(record.key(), Codecs.messagePack().writeValueAsBytes(tree));
    }

    private static byte[] nested() {
        byte[] bytes = new byte[NESTING_DEPTH + 1];
        Arrays.fill(bytes, ARRAY_OF_ONE);
        bytes[NESTING_DEPTH] = NIL;
        return bytes;
    }

    private static byte[] endless(byte code) {
        return ByteBuffer.allocate(1 + Integer.BYTES)
                .put(code)
                .putInt(Integer.MAX_VALUE)
                .array();
    }

    /** Applies {@code odd} between two jobs, and requires that only these are in the replica. */
    private static void assertSkipped(KeyedRecord odd) {
        Replica replica = new Replica();
        replica.apply(JobRecords.encode(job("before")), 0);
        replica.apply(odd, 1);
        replica.apply(JobRecords.encode(job("after")), 2);
        assertThat(replica.nextOffset()).isEqualTo(3);
        assertThat(replica.find("before")).isNotNull();
        assertThat(replica.find("after")).isNotNull();
        assertThat(replica.find("odd")).isNull();
        assertThat(replica.nodes()).isEmpty();
        assertThat(replica.leader()).isNull();
    }

    private static DynamicTest skips(String name, KeyedRecord odd) {
        return DynamicTest.dynamicTest(name, () -> assertSkipped(odd));
    }

    /** Guards against a reader that ends, or asks for the same record for ever, since its value has another form. */
    @TestFactory
    List<DynamicTest> aRecordWithAnotherValueIsSkipped() {
        Map<String, byte[]> values = Map.of(
                "nil", new byte[] {NIL},
                "nested", nested(),
                "endless array", endless(ARRAY),
                "endless text", endless(TEXT),
                "other bytes", new byte[] {(byte) 0xc1, 0, -1});
        return List.of(
                        "job/odd",
                        "progress/odd",
                        "task/odd/0.0.0",
                        "ends/odd/0.0.0",
                        "cancel/odd",
                        "node/odd",
                        "leader",
                        "other",
                        "")
                .stream()
                .flatMap(key -> values.entrySet().stream()
                        .map(value -> skips(
                                "key " + key + " value " + value.getKey(), new KeyedRecord(key, value.getValue()))))
                .toList();
    }

    /** Guards against a reader that ends since the key of a task has no job. */
    @TestFactory
    List<DynamicTest> aTaskWithoutAJobIsSkipped() {
        JobProgress.Task task = new JobProgress.Task(0, 0, 0, 1, 0, false, "t", 1, "");
        return List.of("task/", "task/odd", "task//0.0.0", "ends/", "ends/odd", "ends//0.0.0").stream()
                .flatMap(key -> List.of(JobRecords.encode(key, task), KeyedRecord.tombstone(key)).stream()
                        .map(odd -> skips("key " + key + " length " + odd.value().length, odd)))
                .toList();
    }

    /** Guards against records that end each leader or node that uses them: without a field, or with an odd step. */
    @TestFactory
    List<DynamicTest> aRecordWithAnOddFieldIsSkipped() throws IOException {
        KeyedRecord node = JobRecords.encode(new NodeRecord("odd", "10.1.2.3:1", VmCapacity.UNKNOWN));
        KeyedRecord leader = JobRecords.encode(new LeaderRecord("odd", 0, false));
        KeyedRecord job = JobRecords.encode(job("odd"));
        KeyedRecord progress = JobRecords.encode(new JobProgress("odd", JobState.RUNNING, 0, List.of(), List.of()));
        Step later = new Step(1, Resources.NONE, 1, List.of(1), Step.Constraints.NONE, Step.Mode.PLAIN);
        return List.of(
                skips("node without name", change(node, new Change("name", null))),
                skips("node without address", change(node, new Change("address", null))),
                skips("node without capacity", change(node, new Change("capacity", null))),
                skips(
                        "node with no capacity",
                        change(node, new Change("capacity", Map.of("cores", -1, "link-mbps", 1)))),
                skips("leader without node", change(leader, new Change("node", null))),
                skips("job without id", change(job, new Change("id", null))),
                skips("job of another id", change(job, new Change("id", "x"))),
                skips("job without terms", change(job, new Change("terms", null))),
                skips("job without schedule", change(job, new Change("schedule", null))),
                skips("job without steps", change(job, new Change("steps", null))),
                skips("job with a step after itself", change(job, new Change("steps", List.of(later)))),
                skips("progress without state", change(progress, new Change("state", null))),
                skips("progress without tasks", change(progress, new Change("tasks", null))));
    }
}
