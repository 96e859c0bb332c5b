package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which nodes leave a vacant leadership to others, and how long. */
final class ClaimDelayTest {
    private static final VmCapacity SMALL = new VmCapacity(0.36, 10);
    private static final VmCapacity LARGE = new VmCapacity(1.5, 200);

    private static NodeRecord node(String name, VmCapacity capacity) {
        return new NodeRecord(name, name + ":1", capacity);
    }

    private static long delayMillis(VmCapacity own, NodeRecord... nodes) {
        return ClaimDelay.millis("self", own, List.of(nodes));
    }

    @Test
    void theLargestVmClaimsAtOnce() {
        assertThat(delayMillis(LARGE, node("self", LARGE), node("a", SMALL), node("b", LARGE)))
                .isEqualTo(0);
    }

    @Test
    void equalVmsClaimAtOnce() {
        assertThat(delayMillis(SMALL, node("a", SMALL), node("b", SMALL))).isEqualTo(0);
    }

    /** Guards against a leader whose link is too slow for the commands to all targets, though faster VMs are there. */
    @Test
    void aSmallVmWaitsForALargerOne() {
        assertThat(delayMillis(SMALL, node("self", SMALL), node("a", SMALL), node("b", LARGE)))
                .isAtLeast(ClaimDelay.MAX_MILLIS / 2);
    }

    @Test
    void theWeakerResourceDecides() {
        assertThat(delayMillis(new VmCapacity(2, 10), node("b", LARGE))).isEqualTo(380);
    }

    @Test
    void aNodeThatKnowsNoOtherWaitsLongest() {
        assertThat(delayMillis(LARGE, node("self", LARGE))).isEqualTo(ClaimDelay.MAX_MILLIS);
    }
}
