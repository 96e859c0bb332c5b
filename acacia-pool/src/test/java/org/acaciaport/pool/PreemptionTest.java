package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** Whose work is stopped, spared or waited for so that other work gets its room. */
final class PreemptionTest {
    private final PoolFixture fixture = new PoolFixture();

    @Test
    void aClaimWithinTheGuaranteeStopsOthersWorkAtOnce() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.gang(1, 8, false)));
        assertThat(fixture.stops).hasSize(1);
        assertThat(fixture.starts).hasSize(1);
        fixture.completeStops();
        assertThat(fixture.starts.get(1).task().job()).isEqualTo("claim");
    }

    @Test
    void workOfPriorityZeroBeyondItsGuaranteeYieldsToAClaimWithin() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
    }

    /** Pattern: a claim arrives while others' work is about to end; stopping it would lose nearly all of it. */
    @Test
    void aClaimWaitsForWorkThatIsAboutToEnd() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(4_700);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).isEmpty();
        fixture.advance(1_100);
        fixture.advance(10);
        assertThat(fixture.stops).hasSize(1);
    }

    /** Pattern: short urgent work beyond its guarantee arrives while long work without checkpoints is nearly done. */
    @Test
    void workBeyondTheGuaranteeDoesNotThrowAwayMuchMoreThanItDoes() {
        fixture.addTarget("t1", "r1");
        Step lengthy =
                new Step(1, new Resources(1_000, 1_000, 8), 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("borrower", "x", 1, lengthy));
        fixture.advance(20_000);
        fixture.submit(fixture.job("beyond", "owner", 0, PoolFixture.independentTasks(1, 8)));
        fixture.advance(3_000);
        assertThat(fixture.stops).isEmpty();
    }

    /** Pattern: the same large job was stopped for urgent work again and again, while others were left alone. */
    @Test
    void workThatWasStoppedForOthersBeforeIsSparedNextTime() {
        fixture.setGuarantee("owner", 64);
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("other", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(400);
        fixture.submit(fixture.job("large", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(400);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("large");
        fixture.completeStops();
        fixture.addTarget("t3", "r1");
        fixture.schedulePass();
        fixture.advance(3_000);
        fixture.submit(fixture.job("next", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("other");
    }

    /** Pattern: a claim stopped another account's urgent work, which was late then, though other work could wait. */
    @Test
    void aClaimStopsWorkThatCanWaitRatherThanUrgentWork() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("patient", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(1_500);
        fixture.submit(fixture.job("urgent", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.advance(1_000);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("patient");
    }

    /** Pattern: a short preview that takes whole targets was never worth its victims, and waited for many seconds. */
    @Test
    void aShortPreviewThatTakesWholeTargetsDoesNotWaitForLongWork() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("patient", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(3_000);
        Step brief =
                new Step(1, new Resources(1_000, 1_000, 8), 300, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("preview", "y", 0, brief));
        assertThat(fixture.stops).hasSize(1);
    }

    /**
     * Pattern: a calm day on which an urgent gang too dear to place waits for room. It used to be given that room and
     * to lose it again in each pass, fifty times a second, with a line in the log each time.
     */
    @Test
    void anUrgentGangKeepsTheRoomThatIsSetAsideForIt() {
        fixture.addTarget("t1", "r1");
        Step lengthy =
                new Step(1, new Resources(1_000, 1_000, 8), 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("patient", "x", 1, lengthy));
        fixture.advance(30_000);
        fixture.submit(fixture.job("urgent", "y", 0, PoolFixture.gang(1, 8, false)));
        List<String> lines = new ArrayList<>();
        Handler handler = recordingHandler(lines);
        Logger logger = Logger.getLogger(PlacementPass.class.getName());
        logger.addHandler(handler);
        for (int i = 0; i < 250; i++) {
            fixture.advance(20);
        }
        logger.removeHandler(handler);
        assertThat(fixture.stops).isEmpty();
        assertThat(lines.size()).isAtMost(5);
    }

    private static Handler recordingHandler(List<String> lines) {
        return new Handler() {
            @Override
            public void publish(LogRecord record) {
                lines.add(record.getMessage());
            }

            @Override
            public void flush() {
                // Nothing is held back.
            }

            @Override
            public void close() {
                // Nothing to close.
            }
        };
    }
}
