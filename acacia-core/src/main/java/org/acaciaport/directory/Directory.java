package org.acaciaport.directory;

import java.util.HashSet;
import java.util.Set;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.ConfigurationCheck;
import org.acaciaport.config.ConfigurationException;
import org.acaciaport.record.LogEntry;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Request;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state that results from replaying the platform's log up to an offset: the configuration in force, the leaders
 * and the requests. Replay is deterministic, so all processes that have applied the same entries have the same state.
 *
 * <p>Immutable and thus thread-safe. {@link #apply} returns the next state. The configuration revision and the epoch of
 * each leader never decrease, an idempotency key always refers to the same request, and the outcome of a request never
 * changes.
 */
public final class Directory {
    /** The state before the first entry. */
    public static final Directory EMPTY = new Directory(
            0,
            ActiveConfiguration.NONE,
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty());

    private final long nextOffset;
    private final ActiveConfiguration active;
    private final PMap<String, Leader> leaders;
    private final PMap<String, RequestState> requests;
    private final PMap<String, String> requestIdsByKey;
    private final PMap<String, Long> lastSequences;

    private Directory(
            long nextOffset,
            ActiveConfiguration active,
            PMap<String, Leader> leaders,
            PMap<String, RequestState> requests,
            PMap<String, String> requestIdsByKey,
            PMap<String, Long> lastSequences) {
        this.nextOffset = nextOffset;
        this.active = active;
        this.leaders = leaders;
        this.requests = requests;
        this.requestIdsByKey = requestIdsByKey;
        this.lastSequences = lastSequences;
    }

    /**
     * The result of applying an entry.
     *
     * @param directory the next state
     * @param verdict whether the entry took effect
     */
    public record ApplyResult(Directory directory, Verdict verdict) {}

    /** Returns the offset of the first entry that has not been applied. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the configuration in force. */
    public ActiveConfiguration active() {
        return active;
    }

    /** Returns the last leader of {@code dataCentre}, or null if it never had one. */
    public Leader leader(String dataCentre) {
        return leaders.get(dataCentre);
    }

    /** Returns the state of the request with identifier {@code id}, or null if there is none. */
    public RequestState request(String id) {
        return requests.get(id);
    }

    /** Returns the states of all requests. */
    public Iterable<RequestState> requests() {
        return requests.values();
    }

    /** Returns the state of the request for which {@code account} used the idempotency key {@code key}, or null. */
    public RequestState requestByKey(String account, String key) {
        String id = requestIdsByKey.get(qualifiedKey(account, key));
        return id == null ? null : requests.get(id);
    }

    /**
     * Applies an entry and returns the next state. The offset of the entry must be {@link #nextOffset}, or higher if
     * the entries in between have expired.
     *
     * <p>An entry takes no effect if its writer has appended an entry with the same or a higher sequence number before:
     * a writer repeats an append whose result it does not know, and both copies may be on the log.
     */
    public ApplyResult apply(LogEntry entry) {
        long lastSequence = lastSequences.getOrDefault(entry.writer(), 0L);
        Directory advanced = new Directory(
                entry.offset() + 1,
                active,
                leaders,
                requests,
                requestIdsByKey,
                lastSequences.plus(entry.writer(), Math.max(lastSequence, entry.sequence())));
        if (entry.sequence() <= lastSequence) {
            return new ApplyResult(advanced, new Verdict.Void("the append was repeated; the first one counts"));
        }
        return switch (entry.record()) {
            case LogRecord.Published published -> advanced.publish(entry.offset(), published);
            case LogRecord.ServiceChanged change -> advanced.changeService(entry.offset(), change);
            case LogRecord.Led led -> advanced.lead(entry.offset(), led);
            case LogRecord.Resigned resigned -> advanced.resign(resigned);
            case LogRecord.Accepted accepted -> advanced.accept(accepted);
            case LogRecord.Intended intended -> advanced.intend(intended);
            case LogRecord.Voided voided -> advanced.voidAttempt(voided);
            case LogRecord.Finished finished -> advanced.finish(finished);
            case LogRecord.HandedOver handedOver -> advanced.handOver(handedOver);
        };
    }

    private ApplyResult publish(long offset, LogRecord.Published published) {
        if (published.base() != active.revision()) {
            return reject("based on revision " + published.base() + " but " + active.revision()
                    + " is in force; read it, merge and publish again");
        }
        try {
            ConfigurationCheck.check(published.configuration());
        } catch (ConfigurationException e) {
            return reject(e.getMessage());
        }
        Set<String> out = new HashSet<>(active.out());
        out.removeIf(name -> !published.configuration().hasDataCentre(name));
        return applied(withActive(new ActiveConfiguration(offset, published.configuration(), out)));
    }

    private ApplyResult changeService(long offset, LogRecord.ServiceChanged change) {
        if (!active.configuration().hasDataCentre(change.dataCentre())) {
            return reject("unknown data centre '" + change.dataCentre() + "'; 'acaciactl dc list' shows them");
        }
        Set<String> out = new HashSet<>(active.out());
        boolean changed = change.out() ? out.add(change.dataCentre()) : out.remove(change.dataCentre());
        if (!changed) {
            return reject("data centre '" + change.dataCentre() + "' is already " + (change.out() ? "out" : "in"));
        }
        return applied(withActive(new ActiveConfiguration(offset, active.configuration(), out)));
    }

    private ApplyResult lead(long offset, LogRecord.Led led) {
        Leader leader = leaders.get(led.dataCentre());
        long epoch = leader == null ? 0 : leader.epoch();
        boolean newEpoch = led.epoch() == epoch + 1;
        boolean renewal =
                leader != null && led.epoch() == epoch && led.holder().equals(leader.holder()) && !leader.resigned();
        if (!newEpoch && !renewal) {
            return reject("epoch " + epoch + " is held by " + leader.holder() + "; wait for its lease to end");
        }
        Leader updated = new Leader(led.epoch(), led.holder(), led.address(), offset, false);
        return applied(withLeaders(leaders.plus(led.dataCentre(), updated)));
    }

    private ApplyResult resign(LogRecord.Resigned resigned) {
        Leader leader = leaders.get(resigned.dataCentre());
        if (leader == null || leader.epoch() != resigned.epoch() || leader.resigned()) {
            return reject("the epoch has ended");
        }
        Leader updated = new Leader(leader.epoch(), leader.holder(), leader.address(), leader.offset(), true);
        return applied(withLeaders(leaders.plus(resigned.dataCentre(), updated)));
    }

    private ApplyResult accept(LogRecord.Accepted accepted) {
        Request request = accepted.request();
        String key = qualifiedKey(request.account(), request.key());
        RequestState original = requestByKey(request.account(), request.key());
        if (original != null) {
            return new ApplyResult(this, new Verdict.KeyUsed(original));
        }
        RequestState state =
                new RequestState(request, accepted.payloadHash(), accepted.dataCentre(), null, false, null);
        return applied(new Directory(
                nextOffset,
                active,
                leaders,
                requests.plus(request.id(), state),
                requestIdsByKey.plus(key, request.id()),
                lastSequences));
    }

    private ApplyResult intend(LogRecord.Intended intended) {
        RequestState state = requests.get(intended.request());
        Leader leader = leaders.get(intended.dataCentre());
        if (state == null || state.outcome() != null || state.intent() != null) {
            return reject("the request is unknown, finished or already has an attempt");
        }
        if (!state.home().equals(intended.dataCentre()) || leader == null || leader.epoch() != intended.epoch()) {
            return reject("the request or the leadership has passed to another scheduler");
        }
        return applied(with(state.withIntent(intended)));
    }

    private ApplyResult voidAttempt(LogRecord.Voided voided) {
        RequestState state = requests.get(voided.request());
        if (state == null
                || state.intent() == null
                || state.intent().attempt() != voided.attempt()
                || state.outcome() != null) {
            return reject("the request has no such attempt");
        }
        return applied(with(state.withoutIntent(voided.checkpointed())));
    }

    private ApplyResult finish(LogRecord.Finished finished) {
        RequestState state = requests.get(finished.request());
        if (state == null || state.outcome() != null) {
            return reject("the request is unknown or finished");
        }
        return applied(with(state.withOutcome(finished.outcome())));
    }

    private ApplyResult handOver(LogRecord.HandedOver handedOver) {
        RequestState state = requests.get(handedOver.request());
        boolean transferable = state != null
                && state.outcome() == null
                && state.intent() == null
                && state.home().equals(handedOver.from())
                && active.configuration().hasDataCentre(handedOver.to());
        if (!transferable) {
            return reject(
                    "the request is unknown, started, finished or in another data centre, or the new one is unknown");
        }
        return applied(with(state.withHome(handedOver.to())));
    }

    private ApplyResult reject(String reason) {
        return new ApplyResult(this, new Verdict.Void(reason));
    }

    private static ApplyResult applied(Directory directory) {
        return new ApplyResult(directory, new Verdict.Applied());
    }

    private Directory with(RequestState state) {
        return new Directory(
                nextOffset,
                active,
                leaders,
                requests.plus(state.request().id(), state),
                requestIdsByKey,
                lastSequences);
    }

    private Directory withActive(ActiveConfiguration nextActive) {
        return new Directory(nextOffset, nextActive, leaders, requests, requestIdsByKey, lastSequences);
    }

    private Directory withLeaders(PMap<String, Leader> nextLeaders) {
        return new Directory(nextOffset, active, nextLeaders, requests, requestIdsByKey, lastSequences);
    }

    private static String qualifiedKey(String account, String key) {
        return account + '/' + key;
    }
}
