package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.acaciaport.admission.Outlook;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.junit.jupiter.api.Test;

/** Tests when a leader publishes an outlook, and its size. */
final class OutlookPublisherTest {
    private static final SchedulingSettings ON = new SchedulingSettings(false, false, true, false);
    private static final ClockReading START = new ClockReading(5, 5);
    private static final ClockReading SETTLED =
            new ClockReading(START.nanosAfter(OutlookPublisher.SETTLING_MILLIS), 5 + OutlookPublisher.SETTLING_MILLIS);

    private Outlook outlook = outlook(1, 3);
    private SchedulingSettings settings = ON;
    private Map<String, Integer> percents = Map.of();
    private final OutlookPublisher publisher =
            new OutlookPublisher(now -> outlook, () -> percents, () -> settings, START);

    /** Returns an outlook of services with waits of up to two minutes. */
    private static Outlook outlook(int services, int priorities) {
        List<Outlook.Service> all = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            List<Outlook.Wait> waits = new ArrayList<>();
            for (int priority = 0; priority < priorities; priority++) {
                waits.add(new Outlook.Wait(priority, List.of(40_000, 80_000, 100_000 + i, 120_000 + i)));
            }
            all.add(new Outlook.Service("settlement-" + i, 16_000, 32_768, waits));
        }
        return new Outlook(all);
    }

    private Outlook published() throws Exception {
        List<KeyedRecord> records = publisher.records(SETTLED);
        assertThat(records).hasSize(1);
        return JobRecords.decodeOutlook(records.get(0));
    }

    /** Guards against an outlook of a leader that has not read the registrations of the targets yet. */
    @Test
    void aNewLeaderPublishesNothingAtFirst() {
        assertThat(publisher.records(START)).isEmpty();
    }

    /** Guards against nodes that refuse after the wait has ended, and against a record with each heartbeat after it. */
    @Test
    void theEndOfTheWaitIsPublishedOnce() throws Exception {
        assertThat(published()).isEqualTo(outlook);
        assertThat(published()).isEqualTo(outlook);
        outlook = Outlook.NO_WAIT;
        assertThat(published()).isEqualTo(Outlook.NO_WAIT);
        assertThat(publisher.records(SETTLED)).isEmpty();
    }

    /** Guards against nodes that go on to refuse since only their leader was switched off. */
    @Test
    void aLeaderThatIsSwitchedOffPublishesThatThereIsNoWait() throws Exception {
        assertThat(published()).isEqualTo(outlook);
        settings = SchedulingSettings.OFF;
        assertThat(published()).isEqualTo(Outlook.NO_WAIT);
    }

    /** Guards against a term that ends since no outlook can be derived. */
    @Test
    void aFailingForecastCountsAsNoWait() {
        OutlookPublisher failing = new OutlookPublisher(
                now -> {
                    throw new IllegalStateException("test");
                },
                Map::of,
                () -> ON,
                START);
        try (LogCapture capture = LogCapture.of(OutlookPublisher.class)) {
            assertThat(failing.records(SETTLED)).hasSize(1);
            assertThat(failing.records(SETTLED)).isEmpty();
            assertThat(capture.messagesContaining("outcome=no-outlook")).hasSize(1);
        }
    }

    /** Guards against nodes that never hear how far declared durations are off, or hear it with each heartbeat. */
    @Test
    void declaredDurationsArePublishedWhenTheyChange() throws Exception {
        percents = Map.of("q", 400);
        List<KeyedRecord> records = publisher.records(SETTLED);
        assertThat(records).hasSize(2);
        assertThat(JobRecords.decode(records.get(0), DeclaredDurationsRecord.class)
                        .percents())
                .isEqualTo(percents);
        assertThat(records.get(0).value().length).isAtMost(OutlookPublisher.MAX_BYTES);
        assertThat(publisher.records(SETTLED)).hasSize(1);
    }

    /** Guards against a record beyond 300 bytes, which small links transfer four times a second. */
    @Test
    void theSizeIsBounded() throws Exception {
        for (int services = 1; services <= 20; services++) {
            outlook = outlook(services, 3);
            KeyedRecord record = publisher.records(SETTLED).get(0);
            assertThat(record.value().length).isAtMost(OutlookPublisher.MAX_BYTES);
            Outlook decoded = JobRecords.decodeOutlook(record);
            assertThat(decoded.services().size()).isAtMost(services);
            assertThat(decoded.isEmpty()).isFalse();
            if (services == 1) {
                System.out.printf("outlook of a service with 3 priorities: %d bytes%n", record.value().length);
            }
        }
    }
}
