package org.acaciaport.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that an outlook is sound, and how waits between its levels are derived. */
final class OutlookTest {
    /** Guards against refusals on an outlook that is negative, absurdly long or not in order. */
    @Test
    void absurdWaitsAreNoOutlook() {
        for (List<Integer> millis : List.of(
                List.of(-1, 0, 0, 0),
                List.of(0, 0, 0, Outlook.MAX_WAIT_MILLIS + 1),
                List.of(2, 1, 1, 1),
                List.of(1, 1, 1),
                List.<Integer>of())) {
            assertThrows(IllegalArgumentException.class, () -> new Outlook.Wait(0, millis));
        }
        assertThrows(IllegalArgumentException.class, () -> new Outlook.Wait(-1, List.of(0, 0, 0, 0)));
    }

    @Test
    void absurdAmountsAreNoOutlook() {
        assertThrows(IllegalArgumentException.class, () -> new Outlook.Service("s", -1, 0, List.of()));
        assertThrows(IllegalArgumentException.class, () -> new Outlook.Service("s", 0, Long.MAX_VALUE, List.of()));
    }

    /** Guards against a wait for more accelerators that is shorter than that for fewer. */
    @Test
    void theWaitGrowsWithTheNumberOfAccelerators() {
        Outlook.Wait wait = new Outlook.Wait(1, List.of(1_000, 2_000, 4_000, 16_000));
        long previous = 0;
        for (double accelerators = 0; accelerators < 500; accelerators += 0.5) {
            long millis = wait.millisFor(accelerators);
            assertThat(millis).isAtLeast(previous);
            previous = millis;
        }
        assertThat(wait.millisFor(0)).isEqualTo(1_000);
        assertThat(wait.millisFor(24)).isEqualTo(3_000);
        assertThat(wait.millisFor(10_000)).isEqualTo(16_000);
    }
}
