package org.acaciaport.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.PoolSettings;

/**
 * One version of the operators' configuration.
 *
 * <p>Immutable.
 *
 * @param version version number; increases with each publication
 * @param queues the queues
 * @param accountsByKey client account of each API key
 * @param accounts terms of each client account
 * @param services names of the services
 */
public record OperatorConfiguration(
        long version,
        List<Queue> queues,
        Map<String, String> accountsByKey,
        Map<String, AccountTerms> accounts,
        Set<String> services) {
    /** Creates a configuration with immutable copies of the collections. */
    public OperatorConfiguration {
        queues = List.copyOf(queues);
        accountsByKey = Map.copyOf(accountsByKey);
        accounts = Map.copyOf(accounts);
        services = Set.copyOf(services);
    }

    /**
     * A queue, which callers address by a URL prefix.
     *
     * @param name name of the queue
     * @param host host of the URLs
     * @param prefix prefix of the paths of the URLs
     * @param service the service whose targets run the tasks
     * @param allowsAnonymous whether callers need no API key
     * @param terms priority, retry and objective settings of the jobs
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

    /** Returns the settings of the pool, given the names of the evacuated data centres. */
    PoolSettings poolSettings(Set<String> evacuated) {
        return new PoolSettings(accounts, evacuated, queueServices());
    }

    /** Returns the service of each queue that has one, by the name of the queue. */
    private Map<String, String> queueServices() {
        Map<String, String> byQueue = new HashMap<>();
        for (Queue queue : queues) {
            if (!queue.service().isEmpty()) {
                byQueue.put(queue.name(), queue.service());
            }
        }
        return byQueue;
    }
}
