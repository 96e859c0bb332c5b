package org.acaciaport.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.acaciaport.platform.PlatformException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Tests how calls to unusable addresses fail. */
final class JsonClientTest {
    private static final long TIMEOUT_MILLIS = 1_000;

    private JsonClient client;

    @BeforeEach
    void start() throws Exception {
        client = JsonClient.start();
    }

    @AfterEach
    void stop() {
        client.close();
    }

    /** Guards against callers that end on an unchecked exception since a target registered an unusable address. */
    @TestFactory
    List<DynamicTest> aCallToAnUnusableAddressWasNotMade() {
        return List.of("127.0.0.1:99999", "127.0.0.1:-5", "127.0.0.1:x", "a b:5", "[::1", "%%%:80", "", ":80", "a_b:5")
                .stream()
                .map(address -> DynamicTest.dynamicTest("address " + address, () -> assertNotMade(address)))
                .toList();
    }

    private void assertNotMade(String address) {
        JsonClient.RawCall call = new JsonClient.RawCall(
                "POST", "http://" + address + "/path", Map.of(), "application/json", new byte[] {1});
        PlatformException e = assertThrows(PlatformException.class, () -> client.exchange(call, TIMEOUT_MILLIS));
        assertThat(e.kind()).isEqualTo(PlatformException.Kind.NOT_DONE);
        assertThat(e).hasMessageThat().contains("http://" + address);
    }
}
