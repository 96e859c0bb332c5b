package org.acaciaport.node;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.PoolSettings;

/**
 * What operators have published: queues, client accounts and their keys.
 *
 * <p>Immutable.
 *
 * @param version number of the publication
 * @param queues the queues
 * @param accountsByKey client account of each API key
 * @param guaranteedAccelerators guaranteed accelerators of each client account
 * @param services the services
 */
public record OperatorConfiguration(
        long version,
        List<Queue> queues,
        Map<String, String> accountsByKey,
        Map<String, Long> guaranteedAccelerators,
        Set<String> services) {
    /** Copies the collections. */
    public OperatorConfiguration {
        queues = List.copyOf(queues);
        accountsByKey = Map.copyOf(accountsByKey);
        guaranteedAccelerators = Map.copyOf(guaranteedAccelerators);
        services = Set.copyOf(services);
    }

    /**
     * One queue.
     *
     * @param name its name
     * @param host host of its URLs
     * @param prefix beginning of the path of its URLs
     * @param service the service whose targets run its tasks
     * @param allowsAnonymous whether no key is needed
     * @param terms how it treats its jobs
     */
    public record Queue(
            String name, String host, String prefix, String service, boolean allowsAnonymous, Job.Terms terms) {}

    /** Returns the queue with the longest prefix of {@code path} on {@code host}, or null. */
    Queue findQueue(String host, String path) {
        Queue best = null;
        for (Queue queue : queues) {
            boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.prefix());
            if (matches
                    && (best == null || queue.prefix().length() > best.prefix().length())) {
                best = queue;
            }
        }
        return best;
    }

    PoolSettings poolSettings(Set<String> evacuated) {
        return new PoolSettings(guaranteedAccelerators, evacuated, services);
    }
}
