package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.pool.ClockReading;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that waits forever for the report of an unregistered target. This happens when a target
 * leaves during a network partition and all nodes then lose power: the log still shows runs on that target.
 */
final class OrphanDetectorTest {
    private final OrphanDetector detector = new OrphanDetector(new EarlierLeases(1_000, Map.of()));

    @Test
    void runsOnAnUnregisteredTargetExpireWithTheLeases() {
        assertThat(detector.findExpired(List.of("gone"), Set.of(), new ClockReading(999, 0)))
                .isEmpty();
        assertThat(detector.findExpired(List.of("gone"), Set.of(), new ClockReading(1_000, 0)))
                .containsExactly("gone");
    }

    @Test
    void aPolledTargetIsNotAnOrphan() {
        assertThat(detector.findExpired(List.of("t"), Set.of("t"), new ClockReading(2_000, 0)))
                .isEmpty();
    }
}
