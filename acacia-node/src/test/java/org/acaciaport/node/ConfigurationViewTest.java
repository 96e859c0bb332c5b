package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.junit.jupiter.api.Test;

/** Tests as of when a configuration is known to be the latest. */
final class ConfigurationViewTest {
    private static final KeyedRecord RECORD = new KeyedRecord("config", new byte[] {1});

    private final ConfigurationView view = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
            new OperatorConfiguration(1, List.of(), Map.of(), Map.of(), Set.of("service"))));
    private final ClockReading confirmed = Clocks.now();

    ConfigurationViewTest() {
        view.apply(RECORD, 0);
        view.caughtUp(confirmed, 1);
    }

    /** Guards against refusing calls, as if there were no configuration, whenever the log loses its history. */
    @Test
    void theConfigurationStaysConfirmedWhileASnapshotIsRead() {
        view.reset();
        assertThat(view.latest()).isNotNull();
        assertThat(view.asOf()).isEqualTo(confirmed);
    }

    @Test
    void anEarlierReadThatEndsLaterDoesNotMakeTheConfigurationOlder() {
        view.caughtUp(new ClockReading(confirmed.monotonicNanos() - 1_000_000, confirmed.wallClockMillis() - 1), 1);
        assertThat(view.asOf()).isEqualTo(confirmed);
    }
}
