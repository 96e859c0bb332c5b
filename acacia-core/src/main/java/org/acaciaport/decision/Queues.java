package org.acaciaport.decision;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * The queues of waiting requests, one for each account and profile, in arrival order.
 *
 * <p>Immutable. An account or profile without waiting requests has no entry.
 */
public final class Queues {
    static final Queues EMPTY = new Queues(TreePMap.empty(), HashTreePMap.empty());

    private final PMap<String, PMap<String, TreePMap<Long, String>>> byAccount;
    private final PMap<String, Integer> sizes;

    private Queues(PMap<String, PMap<String, TreePMap<Long, String>>> byAccount, PMap<String, Integer> sizes) {
        this.byAccount = byAccount;
        this.sizes = sizes;
    }

    /** Returns these queues with {@code job} at its place by arrival; unchanged if it is queued already. */
    Queues plus(Job job) {
        PMap<String, TreePMap<Long, String>> profiles = byAccount.getOrDefault(job.account(), TreePMap.empty());
        TreePMap<Long, String> queue = profiles.getOrDefault(job.profile().name(), TreePMap.empty());
        if (queue.containsKey(job.sequence())) {
            return this;
        }
        PMap<String, TreePMap<Long, String>> next =
                profiles.plus(job.profile().name(), queue.plus(job.sequence(), job.id()));
        return new Queues(byAccount.plus(job.account(), next), sizes.plus(job.account(), size(job.account()) + 1));
    }

    /** Returns these queues without {@code job}; unchanged if it is not queued. */
    Queues minus(Job job) {
        PMap<String, TreePMap<Long, String>> profiles = byAccount.get(job.account());
        TreePMap<Long, String> queue =
                profiles == null ? null : profiles.get(job.profile().name());
        if (queue == null || !queue.containsKey(job.sequence())) {
            return this;
        }
        TreePMap<Long, String> shorter = queue.minus(job.sequence());
        PMap<String, TreePMap<Long, String>> next = shorter.isEmpty()
                ? profiles.minus(job.profile().name())
                : profiles.plus(job.profile().name(), shorter);
        PMap<String, PMap<String, TreePMap<Long, String>>> accounts =
                next.isEmpty() ? byAccount.minus(job.account()) : byAccount.plus(job.account(), next);
        return new Queues(accounts, sizes.plus(job.account(), size(job.account()) - 1));
    }

    /** Returns the accounts with waiting requests. */
    public Set<String> accounts() {
        return byAccount.keySet();
    }

    /** Returns the identifiers of the oldest waiting request of each profile of {@code account}. */
    public Collection<String> heads(String account) {
        PMap<String, TreePMap<Long, String>> profiles = byAccount.get(account);
        return profiles == null
                ? Set.of()
                : profiles.values().stream().map(q -> q.firstEntry().getValue()).toList();
    }

    /** Returns the identifier of the newest waiting request of {@code account} and {@code profile}, or null if none. */
    String last(String account, String profile) {
        TreePMap<Long, String> queue = queue(account, profile);
        return queue == null ? null : queue.lastEntry().getValue();
    }

    /** Returns whether {@code job} is the oldest waiting request of its account and profile. */
    boolean isHead(Job job) {
        TreePMap<Long, String> queue = queue(job.account(), job.profile().name());
        return queue != null && queue.firstKey() == job.sequence();
    }

    /** Returns whether {@code account} has waiting requests of {@code profile}. */
    public boolean hasWaiting(String account, String profile) {
        return queue(account, profile) != null;
    }

    /** Returns the number of waiting requests of {@code account}. */
    public int size(String account) {
        return sizes.getOrDefault(account, 0);
    }

    /** Returns the number of waiting requests of all accounts. */
    public int size() {
        return sizes.values().stream().mapToInt(Integer::intValue).sum();
    }

    private TreePMap<Long, String> queue(String account, String profile) {
        Map<String, TreePMap<Long, String>> profiles = byAccount.get(account);
        return profiles == null ? null : profiles.get(profile);
    }
}
