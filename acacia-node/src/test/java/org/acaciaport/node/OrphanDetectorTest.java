package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.acaciaport.pool.ClockReading;
import org.junit.jupiter.api.Test;

/**
 * Pattern: a target leaves during a cut, then all nodes lose power. The next leader finds work on a target that is not
 * registered; it used to wait for its report for ever.
 */
final class OrphanDetectorTest {
    private final OrphanDetector orphans = new OrphanDetector(1_000);

    @Test
    void workOnAnUnregisteredTargetIsOverOnceTheLeasesAre() {
        assertThat(orphans.over(List.of("gone"), Set.of(), new ClockReading(999, 0)))
                .isEmpty();
        assertThat(orphans.over(List.of("gone"), Set.of(), new ClockReading(1_000, 0)))
                .containsExactly("gone");
    }

    @Test
    void aTargetThatIsAskedIsJudgedByItsReports() {
        assertThat(orphans.over(List.of("t"), Set.of("t"), new ClockReading(2_000, 0)))
                .isEmpty();
    }
}
