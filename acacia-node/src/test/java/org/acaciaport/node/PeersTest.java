package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireException;
import org.junit.jupiter.api.Test;

/** Tests in which order a node asks its peers, and which it does not ask. */
final class PeersTest {
    private static final int NODE_COUNT = 43;
    private static final long TIMEOUT_MILLIS = 1_000;

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

    /** Guards against a node that uses no route to the log since one peer has an odd address. */
    @Test
    void aPeerWithAnOddAddressIsNotAsked() {
        for (String address : List.of("", "a", "a:1", "10.1.2.3", "10.1.2.3:99999", "10.1.2.3:-5", "a b:5", "[::1")) {
            Peers peers = new Peers("10.1.2.4:1", () -> List.of(address));
            WireException e =
                    assertThrows(WireException.class, () -> peers.ask(address, new Message.Ping(), TIMEOUT_MILLIS));
            assertWithMessage(address).that(e.kind()).isEqualTo(WireException.Kind.NOT_SENT);
        }
    }
}
