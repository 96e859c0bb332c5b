package org.acaciaport.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** A {@link PoolFixture} whose accounts have limits. */
final class LimitFixture {
    /** Longest time in which work of the highest priority within its guarantee has to start, in milliseconds. */
    static final int MAX_CLAIM_MILLIS = 2_900;

    final PoolFixture pool = new PoolFixture();
    final Map<String, AccountTerms> accounts = new HashMap<>();

    /** Sets the guarantee and the limit of an account, in accelerators. */
    void setTerms(String account, long guaranteed, long limit) {
        setTerms(account, new AccountTerms(guaranteed, 0, new Resources(0, 0, limit)));
    }

    void setTerms(String account, AccountTerms terms) {
        accounts.put(account, terms);
        pool.pool.configure(settings());
    }

    PoolSettings settings() {
        return new PoolSettings(accounts, Set.of(), Map.of());
    }

    void addTargets(int count) {
        for (int i = 0; i < count; i++) {
            pool.addTarget("t" + i, "r1");
        }
    }

    int runningOf(String job) {
        return (int) pool.running.keySet().stream()
                .filter(task -> task.job().equals(job))
                .count();
    }
}
