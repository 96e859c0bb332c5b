package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares what client accounts use of the highest priority with their guarantees.
 *
 * <p>A reading at one moment; for the pool's thread only.
 */
final class Accounts {
    private final Map<String, Long> asked = new HashMap<>();
    private final Map<String, Long> guarantees;

    private Accounts(Map<String, Long> guarantees) {
        this.guarantees = guarantees;
    }

    /** Sums up what the unfinished jobs of priority 0 ask for. */
    static Accounts of(Collection<JobRun> jobs, PoolSettings settings) {
        Accounts accounts = new Accounts(settings.guarantees());
        for (JobRun run : jobs) {
            if (run.state.isTerminal() || run.job.terms().priority() != 0) {
                continue;
            }
            long widest = 0;
            for (Step step : run.job.steps()) {
                widest = Math.max(widest, step.count() * step.demand().accelerators());
            }
            accounts.asked.merge(run.job.account(), widest, Long::sum);
        }
        return accounts;
    }

    /** Returns whether all that {@code account} asks for is within its guarantee. */
    boolean within(String account) {
        return asked.getOrDefault(account, 0L) <= guarantees.getOrDefault(account, 0L);
    }
}
