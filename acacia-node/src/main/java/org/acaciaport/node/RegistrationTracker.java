package org.acaciaport.node;

import java.util.HashSet;
import java.util.Set;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.TargetInfo;

/**
 * Passes the registrations of targets, and their removals, on to {@link TargetRegistrations}.
 *
 * <p>Guarded by the lock of its consumer. A target is unregistered by a record that names no
 * target, and by a new snapshot that has no record of it.
 */
final class RegistrationTracker implements TopicConsumer.Sink {
    private final TargetRecordDecoder decoder;
    private final TargetRegistrations registrations;
    private final Set<String> registered = new HashSet<>();

    /** Targets registered before a reset that the snapshot has not yet confirmed. */
    private final Set<String> unconfirmed = new HashSet<>();

    RegistrationTracker(TargetRecordDecoder decoder, TargetRegistrations registrations) {
        this.decoder = decoder;
        this.registrations = registrations;
    }

    @Override
    public void reset() {
        unconfirmed.addAll(registered);
    }

    @Override
    public void apply(KeyedRecord record, long offset) {
        decoder.targetId(record).ifPresent(id -> {
            if (record.value().length == 0) {
                unregister(id);
                return;
            }
            decoder.decodeTarget(record).ifPresentOrElse(this::register, () -> unregister(id));
        });
    }

    @Override
    public void caughtUp(ClockReading asOf, long nextOffset) {
        Set<String> missing = Set.copyOf(unconfirmed);
        unconfirmed.clear();
        missing.forEach(this::unregister);
    }

    private void register(TargetInfo info) {
        unconfirmed.remove(info.id());
        registered.add(info.id());
        registrations.register(info);
    }

    private void unregister(String id) {
        unconfirmed.remove(id);
        if (registered.remove(id)) {
            registrations.unregister(id);
        }
    }
}
