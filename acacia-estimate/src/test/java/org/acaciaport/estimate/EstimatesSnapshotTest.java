package org.acaciaport.estimate;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.acaciaport.estimate.EstimatesSnapshot.PairLine;
import org.acaciaport.estimate.EstimatesSnapshot.QueueLine;
import org.acaciaport.estimate.EstimatesSnapshot.TargetLine;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Tests what a new leader takes over. */
final class EstimatesSnapshotTest {
    private static final int MAX_BYTES = 64 * 1024;
    private static final List<Long> MOMENTS = List.of(1_000L, 2_000L, 2_100L, 300L, 310L, 900L);

    private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());

    /** Guards against a new leader that decides otherwise than the former one would have. */
    @Test
    void aRestoredSnapshotGivesEqualEstimates() throws IOException {
        SimulatedRuns runs = new SimulatedRuns(3, 60, 0.6, 1, 1.6);
        for (int i = 0; i < 100; i++) {
            runs.step("queue" + i % 3, 8, 20);
        }
        EstimatesSnapshot snapshot = runs.estimates.snapshot();
        EstimatesSnapshot decoded = mapper.readValue(mapper.writeValueAsBytes(snapshot), EstimatesSnapshot.class);
        assertThat(decoded).isEqualTo(snapshot);
        Estimates restored = new Estimates();
        assertThat(restored.restore(decoded)).isEqualTo(0);
        assertThat(restored.snapshot()).isEqualTo(snapshot);
        assertThat(restored.speedsDiffer()).isEqualTo(runs.estimates.speedsDiffer());
        for (int i = 0; i < 60; i++) {
            double before = runs.speed(i);
            double after = restored.speed(SimulatedRuns.name(i), 1, runs.now).factor();
            assertThat(after / before).isWithin(0.001).of(1);
        }
        for (String queue : List.of("queue0", "queue1", "unknown")) {
            for (double declared : new double[] {0, 1, 8, 30}) {
                Work work = new Work(queue, "account", declared);
                Distribution before = runs.estimates.expected(work);
                Distribution after = restored.expected(work);
                assertThat(after.logMedian()).isWithin(0.005).of(before.logMedian());
                assertThat(after.logDeviation()).isWithin(0.005).of(before.logDeviation());
            }
        }
    }

    /** Guards against a record that the log refuses, and against dropping what was used last. */
    @Test
    void aSnapshotOfALargeDeploymentStaysWithinItsBound() throws IOException {
        Estimates estimates = new Estimates();
        for (int i = 0; i < 300; i++) {
            estimates.recordCompleted("s", new Work("q", "a", 5), "target-" + i, Long.MAX_VALUE, "r" + i, 5, 0);
        }
        estimates.forgetStep("s");
        for (int i = 0; i < 1_000; i++) {
            Work work = new Work("queue-" + i % 20, "account-" + i, 5 + i);
            estimates.recordCompleted("s" + i, work, "target-1", Long.MAX_VALUE, "r", 500, 0);
            estimates.forgetStep("s" + i);
        }
        EstimatesSnapshot snapshot = estimates.snapshot();
        assertThat(snapshot.t()).hasSize(300);
        assertThat(snapshot.p()).hasSize(1_000);
        assertThat(snapshot.p().getFirst().a()).isEqualTo("account-999");
        assertThat(mapper.writeValueAsBytes(snapshot).length).isAtMost(MAX_BYTES);
    }

    /** Guards against a record that the log refuses because names are long. */
    @Test
    void longNamesLeaveOutWhatWasUsedLongestAgo() throws IOException {
        Estimates estimates = new Estimates();
        String suffix = "\u00e9".repeat(100);
        for (int i = 0; i < 1_000; i++) {
            Work work = new Work("queue" + i % 300 + suffix, "account" + i + suffix, 5);
            estimates.recordCompleted("s" + i, work, "target" + i + suffix, 1, "r", 5, 0);
            estimates.forgetStep("s" + i);
        }
        EstimatesSnapshot snapshot = estimates.snapshot();
        assertThat(snapshot.p()).isNotEmpty();
        assertThat(snapshot.p().getFirst().a()).startsWith("account999");
        assertThat(mapper.writeValueAsBytes(snapshot).length).isAtMost(MAX_BYTES);
    }

    /** Guards against a leader that fails to start, or starts from nonsense, after a malformed record. */
    @Test
    void malformedLinesAreDroppedAloneAndCounted() {
        List<TargetLine> targets = Arrays.asList(
                new TargetLine("good", 1, -500, 500),
                null,
                new TargetLine(null, 1, 0, 500),
                new TargetLine("fast", 1, Long.MAX_VALUE, 500),
                new TargetLine("certain", 1, 0, 0),
                new TargetLine("unknown", 1, 0, Long.MIN_VALUE));
        List<QueueLine> queues = Arrays.asList(
                new QueueLine("good", MOMENTS),
                new QueueLine("short", List.of(1L)),
                new QueueLine("none", null),
                new QueueLine("null", Arrays.asList(1_000L, null, 0L, 0L, 0L, 0L)),
                new QueueLine("heavy", List.of(Long.MAX_VALUE, 0L, 0L, 0L, 0L, 0L)),
                new QueueLine("negative", List.of(100L, 0L, 0L, -1L, 0L, 0L)));
        List<PairLine> pairs = Arrays.asList(new PairLine("good", "a", MOMENTS), new PairLine("good", null, MOMENTS));
        Estimates estimates = new Estimates();
        assertThat(estimates.restore(new EstimatesSnapshot(1, targets, MOMENTS, queues, pairs)))
                .isEqualTo(11);
        EstimatesSnapshot kept = estimates.snapshot();
        assertThat(kept.t()).containsExactly(targets.getFirst());
        assertThat(kept.q()).containsExactly(queues.getFirst());
        assertThat(kept.p()).containsExactly(pairs.getFirst());
        assertThat(estimates.speed("good", 1, 0).factor()).isWithin(1e-9).of(Math.exp(-0.5));
    }

    /** Guards against an exception for a record that is missing, of another version or empty. */
    @Test
    void withoutAUsableSnapshotThePriorIsInForce() {
        Estimates estimates = new Estimates();
        assertThat(estimates.restore(null)).isEqualTo(1);
        assertThat(estimates.restore(new EstimatesSnapshot(2, List.of(), MOMENTS, List.of(), List.of())))
                .isEqualTo(1);
        assertThat(estimates.restore(new EstimatesSnapshot(1, null, null, null, null)))
                .isEqualTo(4);
        assertThat(estimates.expected(new Work("q", "a", 3)).medianSeconds())
                .isWithin(1e-9)
                .of(3);
    }
}
