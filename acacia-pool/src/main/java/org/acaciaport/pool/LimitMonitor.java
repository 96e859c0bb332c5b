package org.acaciaport.pool;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import org.jboss.logging.Logger;

/**
 * Logs when limits begin and cease to hold work of client accounts back, and counts the tasks held back.
 *
 * <p>Writes at most two lines per account and second. Mutable and not thread-safe; confined to the thread of the pool.
 */
final class LimitMonitor {
    private static final Logger LOG = Logger.getLogger(LimitMonitor.class);

    /** Time without held-back work after which an account counts as below its limit, in milliseconds. */
    private static final long BELOW_MILLIS = 1_000;

    /** When each account at its limit was last held back, on the monotonic clock, in nanoseconds. */
    private final Map<String, Long> heldNanos = new TreeMap<>();

    private int heldBackTasks;

    /** Returns the number of tasks that were held back in the newest pass. */
    int heldBackTasks() {
        return heldBackTasks;
    }

    void beginPass() {
        heldBackTasks = 0;
    }

    /** Records that the limit in {@code terms} holds {@code unit} back. */
    void recordHeldBack(PlacementUnit unit, AccountTerms terms, AccountUsage usage, ClockReading now) {
        heldBackTasks += unit.size();
        String account = unit.job().account();
        if (heldNanos.put(account, now.monotonicNanos()) == null) {
            LOG.infof(
                    "limit: account=%s outcome=reached request=%s demand=%s running=%s committed=%s limit=%s",
                    account,
                    unit.job().id(),
                    format(unit.fullDemand()),
                    format(usage.running(account)),
                    format(usage.committed(account)),
                    format(terms.limit()));
        }
    }

    /** Logs the accounts that are no longer held back. */
    void endPass(Map<String, AccountTerms> accounts, AccountUsage usage, ClockReading now) {
        for (Iterator<Map.Entry<String, Long>> it = heldNanos.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<String, Long> held = it.next();
            if (now.millisSince(held.getValue()) >= BELOW_MILLIS) {
                it.remove();
                String account = held.getKey();
                AccountTerms terms = accounts.getOrDefault(account, AccountTerms.NONE);
                LOG.infof(
                        "limit: account=%s outcome=below running=%s limit=%s",
                        account, format(usage.running(account)), format(terms.limit()));
            }
        }
    }

    private static String format(Resources amounts) {
        return "cores:%.1f,mb:%s,accelerators:%s"
                .formatted(amounts.cores(), amounts.memoryMb(), amounts.accelerators());
    }
}
