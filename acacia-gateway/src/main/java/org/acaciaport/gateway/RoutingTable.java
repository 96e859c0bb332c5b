package org.acaciaport.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.wire.Message;

/**
 * A snapshot of the newest view that each scheduler reported, and of the newest configuration among them.
 *
 * <p>Immutable. The revision of {@code activeConfiguration} never decreases from one table to the next.
 *
 * @param views newest view of each scheduler, by the scheduler's address
 * @param activeConfiguration newest configuration that any scheduler reported
 */
record RoutingTable(Map<String, CachedView> views, ActiveConfiguration activeConfiguration) {
    static final RoutingTable EMPTY = new RoutingTable(Map.of(), ActiveConfiguration.NONE);

    RoutingTable {
        views = Map.copyOf(views);
    }

    /**
     * A scheduler's view with its expiry time.
     *
     * @param view the view
     * @param expiresAtNanos when the view becomes too old to route by, as a reading of {@link System#nanoTime}
     */
    record CachedView(Message.View view, long expiresAtNanos) {
        boolean isFresh() {
            return System.nanoTime() - expiresAtNanos < 0;
        }
    }

    /** Returns a table in which {@code cachedView} replaces the view of the scheduler at {@code address}. */
    RoutingTable withView(String address, CachedView cachedView) {
        Map<String, CachedView> nextViews = new HashMap<>(views);
        nextViews.put(address, cachedView);
        ActiveConfiguration reported = cachedView.view().active();
        boolean newer = reported != null && reported.revision() > activeConfiguration.revision();
        return new RoutingTable(nextViews, newer ? reported : activeConfiguration);
    }

    /**
     * Returns the address of the scheduler that leads {@code dataCentre}, or empty if no fresh view names one.
     *
     * <p>If several schedulers claim to lead, the one with the highest epoch wins.
     */
    Optional<String> leaderOf(String dataCentre) {
        String leader = null;
        long leaderEpoch = -1;
        for (Map.Entry<String, CachedView> entry : views.entrySet()) {
            Message.View view = entry.getValue().view();
            boolean leads = view.leads()
                    && view.dataCentre().equals(dataCentre)
                    && entry.getValue().isFresh();
            if (leads && view.epoch() > leaderEpoch) {
                leader = entry.getKey();
                leaderEpoch = view.epoch();
            }
        }
        return Optional.ofNullable(leader);
    }

    /** Returns how many requests wait at the leader of {@code dataCentre}, or 0 if no leader is known. */
    int waitingRequests(String dataCentre) {
        return leaderOf(dataCentre)
                .map(address -> views.get(address).view().waiting())
                .orElse(0);
    }
}
