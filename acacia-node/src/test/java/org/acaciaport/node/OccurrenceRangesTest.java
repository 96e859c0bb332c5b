package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.junit.jupiter.api.Test;

/** Tests how the done occurrences of a recurring job are written. */
final class OccurrenceRangesTest {
    private static final int MAX_OCCURRENCES = 100_000;

    @Test
    void whatWasCompactedExpandsToItself() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 200; i++) {
            double share = random.nextDouble();
            List<Integer> done = IntStream.range(0, random.nextInt(60))
                    .filter(k -> random.nextDouble() < share)
                    .boxed()
                    .toList();
            assertThat(OccurrenceRanges.expand(OccurrenceRanges.compact(done))).isEqualTo(done);
        }
        assertThat(OccurrenceRanges.compact(List.of(0, 1, 2, 3, 7, 8))).containsExactly(0, -3, 7, 8);
    }

    /** Guards against a job that stops all work (LOST), since its record outgrows what the log takes. */
    @Test
    void theRecordOfAJobWithManyDoneOccurrencesFitsInTheLog() throws Exception {
        for (int open : new int[] {2, 3, 4, MAX_OCCURRENCES}) {
            List<Integer> done = IntStream.range(0, MAX_OCCURRENCES)
                    .filter(k -> k % open != 1)
                    .boxed()
                    .toList();
            KeyedRecord record = JobRecords.encode(new JobProgress("a", JobState.RUNNING, 0, done, List.of()));
            assertThat(MemoryLog.LIMITS.fits(record)).isTrue();
            assertThat(JobRecords.decodeProgress(record).doneOccurrences()).isEqualTo(done);
        }
    }

    @Test
    void anOddListIsRejected() {
        for (List<Integer> odd : List.of(List.of(-1), List.of(5, -5), List.of(5, -2_000_000_000), List.of(2_000_000))) {
            assertThrows(IOException.class, () -> OccurrenceRanges.expand(odd));
        }
    }
}
