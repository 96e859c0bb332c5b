package org.acaciaport.node;

import java.util.HashSet;
import java.util.Set;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;

/**
 * Hands registrations of targets to a term.
 *
 * <p>Used under its follower's lock. Targets that a re-read from the start no longer shows count as unregistered.
 */
final class RegistrationTracker implements TopicConsumer.Sink {
    private final TargetCodec codec;
    private final Term term;
    private final Set<String> known = new HashSet<>();
    private final Set<String> unseen = new HashSet<>();

    RegistrationTracker(TargetCodec codec, Term term) {
        this.codec = codec;
        this.term = term;
    }

    @Override
    public void reset() {
        unseen.addAll(known);
    }

    @Override
    public void apply(KeyedRecord record, long offset) {
        codec.targetId(record).ifPresent(id -> {
            if (record.value().length == 0) {
                drop(id);
                return;
            }
            codec.decodeTarget(record).ifPresent(info -> {
                unseen.remove(id);
                known.add(id);
                term.register(info);
            });
        });
    }

    @Override
    public void caughtUp(ClockReading asOf, long next) {
        Set<String> gone = Set.copyOf(unseen);
        unseen.clear();
        gone.forEach(this::drop);
    }

    private void drop(String id) {
        unseen.remove(id);
        if (known.remove(id)) {
            term.unregister(id);
        }
    }
}
