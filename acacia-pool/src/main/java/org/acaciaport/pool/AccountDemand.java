package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The demand of client accounts for accelerators at the highest priority, compared with their guarantees.
 *
 * <p>A snapshot. Not thread-safe; confined to the thread of the pool.
 */
final class AccountDemand {
    private final Map<String, Long> requestedAccelerators = new HashMap<>();
    private final PoolSettings settings;

    private AccountDemand(PoolSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns the demand of all unfinished jobs of priority 0; each counts with the demand of its largest step. Gangs
     * beyond the limit of their account do not count, as they cannot start.
     */
    static AccountDemand of(Collection<JobExecution> jobs, PoolSettings settings) {
        AccountDemand demand = new AccountDemand(settings);
        for (JobExecution job : jobs) {
            if (job.state.isTerminal() || job.spec.terms().priority() != 0) {
                continue;
            }
            long largestStep = job.spec.largestStepAccelerators(settings.terms(job.spec.account()));
            demand.requestedAccelerators.merge(job.spec.account(), largestStep, Long::sum);
        }
        return demand;
    }

    /** Returns whether the total demand of {@code account} is within its guarantee. */
    boolean isWithinGuarantee(String account) {
        return requestedAccelerators.getOrDefault(account, 0L)
                <= settings.terms(account).guaranteedAccelerators();
    }
}
