package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares what client accounts use of the highest priority with their guarantees.
 *
 * <p>A reading at one moment; for the pool's thread only.
 */
final class AccountDemand {
    private final Map<String, Long> requestedAccelerators = new HashMap<>();
    private final Map<String, Long> guarantees;

    private AccountDemand(Map<String, Long> guarantees) {
        this.guarantees = guarantees;
    }

    /** Sums up what the unfinished jobs of priority 0 ask for. */
    static AccountDemand of(Collection<JobExecution> jobs, PoolSettings settings) {
        AccountDemand demand = new AccountDemand(settings.guarantees());
        for (JobExecution job : jobs) {
            if (job.state.isTerminal() || job.spec.terms().priority() != 0) {
                continue;
            }
            long largestStep = 0;
            for (Step step : job.spec.steps()) {
                largestStep = Math.max(largestStep, step.count() * step.demand().accelerators());
            }
            demand.requestedAccelerators.merge(job.spec.account(), largestStep, Long::sum);
        }
        return demand;
    }

    /** Returns whether all that {@code account} asks for is within its guarantee. */
    boolean isWithinGuarantee(String account) {
        return requestedAccelerators.getOrDefault(account, 0L) <= guarantees.getOrDefault(account, 0L);
    }
}
