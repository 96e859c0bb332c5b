package org.acaciaport.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The operator-defined settings of the pool.
 *
 * <p>Immutable.
 *
 * @param accounts terms by client account; an account without terms has {@link AccountTerms#NONE}
 * @param evacuatedDataCentres data centres that accept no new work
 * @param queueServices name of the service that runs the tasks of each queue, by the name of the queue
 */
public record PoolSettings(
        Map<String, AccountTerms> accounts, Set<String> evacuatedDataCentres, Map<String, String> queueServices) {
    /** Settings without any account, evacuated data centre or queue. */
    public static final PoolSettings EMPTY = new PoolSettings(Map.of(), Set.of(), Map.of());

    /** Creates settings with immutable copies of the collections. */
    public PoolSettings {
        accounts = Map.copyOf(accounts);
        evacuatedDataCentres = Set.copyOf(evacuatedDataCentres);
        queueServices = Map.copyOf(queueServices);
    }

    /** Returns these settings without the limits of accounts. */
    PoolSettings withoutLimits() {
        Map<String, AccountTerms> unlimited = new HashMap<>();
        accounts.forEach((account, terms) -> unlimited.put(account, terms.withoutLimit()));
        return new PoolSettings(unlimited, evacuatedDataCentres, queueServices);
    }

    /** Returns the terms of {@code account}. */
    AccountTerms terms(String account) {
        return accounts.getOrDefault(account, AccountTerms.NONE);
    }
}
