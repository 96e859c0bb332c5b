package org.acaciaport.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.acaciaport.admission.Outlook;
import org.acaciaport.failure.Failures;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Produces the outlook record that a term writes with its heartbeats.
 *
 * <p>Confined to the thread of the term. The record is written with each heartbeat while work waits, and once more when
 * the wait has ended, so a node that reads an outlook without a wait knows that there is none until the next one.
 */
final class OutlookPublisher {
    private static final Logger LOG = Logger.getLogger(OutlookPublisher.class);

    /** Largest size of the record, in bytes; the shortest waits are left out beyond it. */
    static final int MAX_BYTES = 300;

    /**
     * Time from the start of a term in which nothing is published, in milliseconds: it reads the registrations of the
     * targets meanwhile, which takes two polls.
     */
    static final long SETTLING_MILLIS = 1_000;

    private final Function<ClockReading, Outlook> forecaster;
    private final Supplier<Map<String, Integer>> declaredDurations;
    private final Supplier<SchedulingSettings> settings;
    private final long settledNanos;
    private Map<String, Integer> publishedDurations = Map.of();
    private boolean noWaitPublished;
    private boolean failing;

    /**
     * Creates a publisher of a term that starts at {@code now}.
     *
     * @param forecaster returns the outlook as of a reading of the clock
     * @param declaredDurations returns how much longer than declared the steps of each queue take, in percent
     */
    OutlookPublisher(
            Function<ClockReading, Outlook> forecaster,
            Supplier<Map<String, Integer>> declaredDurations,
            Supplier<SchedulingSettings> settings,
            ClockReading now) {
        this.forecaster = forecaster;
        this.declaredDurations = declaredDurations;
        this.settings = settings;
        settledNanos = now.nanosAfter(SETTLING_MILLIS);
    }

    /** Returns the record to write with a heartbeat; none if the log has it already. */
    List<KeyedRecord> records(ClockReading now) {
        if (now.monotonicNanos() - settledNanos < 0) {
            return List.of();
        }
        Outlook outlook = settings.get().admission() ? deriveOutlook(now) : Outlook.NO_WAIT;
        if (outlook.isEmpty() && noWaitPublished) {
            return List.of();
        }
        KeyedRecord record = encode(outlook);
        noWaitPublished = outlook.isEmpty();
        return outlook.isEmpty() ? List.of(record) : withChangedDurations(record);
    }

    /** Returns {@code record} and, if they have changed, how far declared durations are off. */
    private List<KeyedRecord> withChangedDurations(KeyedRecord record) {
        Map<String, Integer> percents = declaredDurations.get();
        if (percents.equals(publishedDurations)) {
            return List.of(record);
        }
        publishedDurations = percents;
        return List.of(JobRecords.encode(new DeclaredDurationsRecord(percents)), record);
    }

    /** Returns the outlook, or one without waits if it cannot be derived; that must not end the term. */
    private Outlook deriveOutlook(ClockReading now) {
        try {
            Outlook outlook = forecaster.apply(now);
            failing = false;
            return outlook;
        } catch (RuntimeException e) {
            if (!failing) {
                LOG.errorf(e, "admission: outcome=no-outlook reason=%s", Failures.reasonOf(e));
            }
            failing = true;
            return Outlook.NO_WAIT;
        }
    }

    /** Encodes the outlook; leaves out the services with the shortest waits until it fits. */
    private static KeyedRecord encode(Outlook outlook) {
        List<Outlook.Service> services = new ArrayList<>(outlook.services());
        services.sort(Comparator.comparingInt(OutlookPublisher::longestMillis).reversed());
        KeyedRecord record = JobRecords.encode(OutlookRecord.of(new Outlook(services)));
        while (record.value().length > MAX_BYTES) {
            services.removeLast();
            record = JobRecords.encode(OutlookRecord.of(new Outlook(services)));
        }
        return record;
    }

    private static int longestMillis(Outlook.Service service) {
        int longest = 0;
        for (Outlook.Wait wait : service.waits()) {
            longest = Math.max(longest, wait.millis().getLast());
        }
        return longest;
    }
}
