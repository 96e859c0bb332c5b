package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests in which order a node asks its peers. */
final class PeersTest {
    private static final int NODE_COUNT = 43;

    private static List<String> addresses() {
        return IntStream.range(0, NODE_COUNT)
                .mapToObj(i -> "10." + (1 + i % 3) + ".0." + (15 + i) + ":8302")
                .toList();
    }

    /** Guards against one VM that relays the calls of all others while the log refuses them. */
    @Test
    void nodesAskDifferentPeersFirst() {
        Map<String, Integer> askedFirst = new HashMap<>();
        for (String self : addresses()) {
            List<String> candidates = new Peers(self, PeersTest::addresses).candidates();
            askedFirst.merge(candidates.get(0), 1, Integer::sum);
        }
        assertThat(Collections.max(askedFirst.values())).isAtMost(NODE_COUNT / 4);
    }
}
