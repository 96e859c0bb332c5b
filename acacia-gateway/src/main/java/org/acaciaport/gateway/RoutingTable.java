package org.acaciaport.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.wire.Message;

/**
 * What the schedulers last said of themselves.
 *
 * <p>Immutable. The revision of {@code active} never decreases from one table to the next.
 *
 * @param views newest view of each scheduler by address
 * @param active newest configuration seen
 */
record RoutingTable(Map<String, Seen> views, ActiveConfiguration active) {
    static final RoutingTable EMPTY = new RoutingTable(Map.of(), ActiveConfiguration.NONE);

    RoutingTable {
        views = Map.copyOf(views);
    }

    /**
     * A view and when it came.
     *
     * @param view the view
     * @param validUntil when it is too old to go by, as a reading of {@link System#nanoTime}
     */
    record Seen(Message.View view, long validUntil) {
        boolean valid() {
            return System.nanoTime() - validUntil < 0;
        }
    }

    RoutingTable with(String address, Seen seen) {
        Map<String, Seen> next = new HashMap<>(views);
        next.put(address, seen);
        ActiveConfiguration offered = seen.view().active();
        boolean newer = offered != null && offered.revision() > active.revision();
        return new RoutingTable(next, newer ? offered : active);
    }

    /** Returns the address of the scheduler that leads {@code dataCentre}, as far as is known. */
    Optional<String> leaderOf(String dataCentre) {
        String best = null;
        long bestEpoch = -1;
        for (Map.Entry<String, Seen> entry : views.entrySet()) {
            Message.View view = entry.getValue().view();
            boolean leads = view.leads()
                    && view.dataCentre().equals(dataCentre)
                    && entry.getValue().valid();
            if (leads && view.epoch() > bestEpoch) {
                best = entry.getKey();
                bestEpoch = view.epoch();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns how many requests wait at the leader of {@code dataCentre}. */
    int waitingAt(String dataCentre) {
        return leaderOf(dataCentre).map(a -> views.get(a).view().waiting()).orElse(0);
    }
}
