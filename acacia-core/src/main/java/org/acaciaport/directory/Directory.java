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
 * The state that follows from the log up to an offset. Every process that applies the same entries holds the same.
 *
 * <p>Immutable, so any thread may read it. The revision and the epoch of a leader never decrease, a key never changes
 * its request, and a request never changes its outcome.
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

    private final long next;
    private final ActiveConfiguration active;
    private final PMap<String, Leader> leaders;
    private final PMap<String, RequestState> requests;
    private final PMap<String, String> keys;
    private final PMap<String, Long> sequences;

    private Directory(
            long next,
            ActiveConfiguration active,
            PMap<String, Leader> leaders,
            PMap<String, RequestState> requests,
            PMap<String, String> keys,
            PMap<String, Long> sequences) {
        this.next = next;
        this.active = active;
        this.leaders = leaders;
        this.requests = requests;
        this.keys = keys;
        this.sequences = sequences;
    }

    /**
     * A directory after one more entry.
     *
     * @param directory the new state
     * @param verdict what became of the entry
     */
    public record ApplyResult(Directory directory, Verdict verdict) {}

    /** Returns the offset of the first entry not yet applied. */
    public long nextOffset() {
        return next;
    }

    /** Returns the configuration in force. */
    public ActiveConfiguration active() {
        return active;
    }

    /** Returns who leads {@code dataCentre}, or null if nobody ever did. */
    public Leader leader(String dataCentre) {
        return leaders.get(dataCentre);
    }

    /** Returns what is known of the request called {@code id}, or null. */
    public RequestState request(String id) {
        return requests.get(id);
    }

    /** Returns all requests known. */
    public Iterable<RequestState> requests() {
        return requests.values();
    }

    /** Returns the request for which {@code account} used {@code key}, or null. */
    public RequestState requestByKey(String account, String key) {
        String id = keys.get(keyOf(account, key));
        return id == null ? null : requests.get(id);
    }

    /** Applies the entry at {@link #nextOffset}, or at a higher offset if entries between have expired. */
    public ApplyResult apply(LogEntry entry) {
        long last = sequences.getOrDefault(entry.writer(), 0L);
        Directory seen = new Directory(
                entry.offset() + 1,
                active,
                leaders,
                requests,
                keys,
                sequences.plus(entry.writer(), Math.max(last, entry.sequence())));
        if (entry.sequence() <= last) {
            return new ApplyResult(seen, new Verdict.Void("the append was repeated; the first one counts"));
        }
        return switch (entry.record()) {
            case LogRecord.Published published -> seen.publish(entry.offset(), published);
            case LogRecord.ServiceChanged change -> seen.changeService(entry.offset(), change);
            case LogRecord.Led led -> seen.lead(entry.offset(), led);
            case LogRecord.Resigned resigned -> seen.resign(resigned);
            case LogRecord.Accepted accepted -> seen.accept(accepted);
            case LogRecord.Intended intended -> seen.intend(intended);
            case LogRecord.Voided voided -> seen.voidAttempt(voided);
            case LogRecord.Finished finished -> seen.finish(finished);
            case LogRecord.HandedOver handedOver -> seen.handOver(handedOver);
        };
    }

    private ApplyResult publish(long offset, LogRecord.Published published) {
        if (published.base() != active.revision()) {
            return refuse("based on revision " + published.base() + " but " + active.revision()
                    + " is in force; read it, merge and publish again");
        }
        try {
            ConfigurationCheck.check(published.configuration());
        } catch (ConfigurationException e) {
            return refuse(e.getMessage());
        }
        Set<String> out = new HashSet<>(active.out());
        out.removeIf(name -> !published.configuration().hasDataCentre(name));
        return applied(withActive(new ActiveConfiguration(offset, published.configuration(), out)));
    }

    private ApplyResult changeService(long offset, LogRecord.ServiceChanged change) {
        if (!active.configuration().hasDataCentre(change.dataCentre())) {
            return refuse("unknown data centre '" + change.dataCentre() + "'; 'acaciactl dc list' shows them");
        }
        Set<String> out = new HashSet<>(active.out());
        boolean changed = change.out() ? out.add(change.dataCentre()) : out.remove(change.dataCentre());
        if (!changed) {
            return refuse("data centre '" + change.dataCentre() + "' is already " + (change.out() ? "out" : "in"));
        }
        return applied(withActive(new ActiveConfiguration(offset, active.configuration(), out)));
    }

    private ApplyResult lead(long offset, LogRecord.Led led) {
        Leader leader = leaders.get(led.dataCentre());
        long epoch = leader == null ? 0 : leader.epoch();
        boolean begins = led.epoch() == epoch + 1;
        boolean goesOn =
                leader != null && led.epoch() == epoch && led.holder().equals(leader.holder()) && !leader.resigned();
        if (!begins && !goesOn) {
            return refuse("epoch " + epoch + " is held by " + leader.holder() + "; wait for its lease to end");
        }
        Leader next = new Leader(led.epoch(), led.holder(), led.address(), offset, false);
        return applied(withLeaders(leaders.plus(led.dataCentre(), next)));
    }

    private ApplyResult resign(LogRecord.Resigned resigned) {
        Leader leader = leaders.get(resigned.dataCentre());
        if (leader == null || leader.epoch() != resigned.epoch() || leader.resigned()) {
            return refuse("that epoch is over");
        }
        Leader next = new Leader(leader.epoch(), leader.holder(), leader.address(), leader.offset(), true);
        return applied(withLeaders(leaders.plus(resigned.dataCentre(), next)));
    }

    private ApplyResult accept(LogRecord.Accepted accepted) {
        Request request = accepted.request();
        String key = keyOf(request.account(), request.key());
        RequestState original = requestByKey(request.account(), request.key());
        if (original != null) {
            return new ApplyResult(this, new Verdict.KeyUsed(original));
        }
        RequestState entry =
                new RequestState(request, accepted.payloadHash(), accepted.dataCentre(), null, false, null);
        return applied(new Directory(
                next, active, leaders, requests.plus(request.id(), entry), keys.plus(key, request.id()), sequences));
    }

    private ApplyResult intend(LogRecord.Intended intended) {
        RequestState entry = requests.get(intended.request());
        Leader leader = leaders.get(intended.dataCentre());
        if (entry == null || entry.outcome() != null || entry.intent() != null) {
            return refuse("the request is unknown, finished or has an attempt already");
        }
        if (!entry.home().equals(intended.dataCentre()) || leader == null || leader.epoch() != intended.epoch()) {
            return refuse("the request or the leadership has passed to another scheduler");
        }
        return applied(with(entry.withIntent(intended)));
    }

    private ApplyResult voidAttempt(LogRecord.Voided voided) {
        RequestState entry = requests.get(voided.request());
        if (entry == null
                || entry.intent() == null
                || entry.intent().attempt() != voided.attempt()
                || entry.outcome() != null) {
            return refuse("no such attempt stands");
        }
        return applied(with(entry.withoutIntent(voided.checkpointed())));
    }

    private ApplyResult finish(LogRecord.Finished finished) {
        RequestState entry = requests.get(finished.request());
        if (entry == null || entry.outcome() != null) {
            return refuse("the request is unknown or finished");
        }
        return applied(with(entry.withOutcome(finished.outcome())));
    }

    private ApplyResult handOver(LogRecord.HandedOver handedOver) {
        RequestState entry = requests.get(handedOver.request());
        boolean movable = entry != null
                && entry.outcome() == null
                && entry.intent() == null
                && entry.home().equals(handedOver.from())
                && active.configuration().hasDataCentre(handedOver.to());
        if (!movable) {
            return refuse("the request is unknown, started, finished or elsewhere");
        }
        return applied(with(entry.withHome(handedOver.to())));
    }

    private ApplyResult refuse(String reason) {
        return new ApplyResult(this, new Verdict.Void(reason));
    }

    private static ApplyResult applied(Directory directory) {
        return new ApplyResult(directory, new Verdict.Applied());
    }

    private Directory with(RequestState entry) {
        return new Directory(
                next, active, leaders, requests.plus(entry.request().id(), entry), keys, sequences);
    }

    private Directory withActive(ActiveConfiguration nextActive) {
        return new Directory(next, nextActive, leaders, requests, keys, sequences);
    }

    private Directory withLeaders(PMap<String, Leader> nextLeaders) {
        return new Directory(next, active, nextLeaders, requests, keys, sequences);
    }

    private static String keyOf(String account, String key) {
        return account + '/' + key;
    }
}
