package org.acaciaport.address;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which texts are addresses. */
final class SocketAddressesTest {
    @Test
    void anAddressRoundTrips() {
        String text = "10.1.255.0:65535";
        assertThat(SocketAddresses.parseRemote(text).map(SocketAddresses::toText))
                .hasValue(text);
        assertThat(SocketAddresses.parseLocal("0.0.0.0:0").map(SocketAddresses::toText))
                .hasValue("0.0.0.0:0");
    }

    /** Guards against lookups of text that is no address, on a network without name service. */
    @Test
    void otherTextIsNoAddress() {
        for (String text : List.of(
                "",
                ":",
                "10.1.2.3",
                "10.1.2.3:",
                "10.1.2.3:x",
                "10.1.2.3:-5",
                "10.1.2.3:65536",
                "10.1.2.3:99999",
                "10.1.2.3:000080",
                "10.1.2:80",
                "10.1.2.3.4:80",
                "256.1.2.3:80",
                "999.1.1.1:80",
                "localhost:80",
                "a b:5",
                "[::1",
                "[::1]:80",
                "%%%:80",
                " 10.1.2.3:80",
                "10.1.2.3:80\n")) {
            assertWithMessage(text).that(SocketAddresses.parseLocal(text)).isEmpty();
            assertWithMessage(text).that(SocketAddresses.parseRemote(text)).isEmpty();
        }
    }

    @Test
    void anAddressToConnectToHasAHostAndAPort() {
        for (String text : List.of("10.1.2.3:0", "0.0.0.0:80", "224.0.0.1:80")) {
            assertWithMessage(text).that(SocketAddresses.parseLocal(text)).isPresent();
            assertWithMessage(text).that(SocketAddresses.parseRemote(text)).isEmpty();
        }
    }
}
