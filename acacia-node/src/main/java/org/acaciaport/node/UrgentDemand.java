package org.acaciaport.node;

import java.util.HashMap;
import java.util.Map;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Job;

/**
 * The accelerators that the unfinished jobs of priority 0 of each account need, by their largest steps, as a running
 * sum: a check takes constant time unless the terms of the account have changed.
 *
 * <p>Mutable and not thread-safe; guarded by the lock of its {@link Replica}.
 */
final class UrgentDemand {
    private final Map<String, Account> accounts = new HashMap<>();

    /** The unfinished jobs of an account, and their sum under the terms for which it was asked last. */
    private static final class Account {
        final Map<String, Job> jobs = new HashMap<>();
        AccountTerms terms = AccountTerms.NONE;
        long accelerators;
    }

    /** Records that the entry of a job has changed. */
    void update(JobEntry before, JobEntry after) {
        boolean counted = counts(before);
        boolean counts = counts(after);
        if (counted && !counts) {
            remove(before.job());
        } else if (counts && !counted) {
            add(after.job());
        }
    }

    private static boolean counts(JobEntry entry) {
        return entry.job() != null
                && entry.job().terms().priority() == 0
                && !entry.state().isTerminal();
    }

    private void add(Job job) {
        Account account = accounts.computeIfAbsent(job.account(), name -> new Account());
        account.jobs.put(job.id(), job);
        account.accelerators += job.largestStepAccelerators(account.terms);
    }

    private void remove(Job job) {
        Account account = accounts.get(job.account());
        account.jobs.remove(job.id());
        account.accelerators -= job.largestStepAccelerators(account.terms);
        if (account.jobs.isEmpty()) {
            accounts.remove(job.account());
        }
    }

    /** Returns the accelerators that the jobs of {@code name} need, without gangs beyond its limit. */
    long accelerators(String name, AccountTerms terms) {
        Account account = accounts.get(name);
        if (account == null) {
            return 0;
        }
        if (!account.terms.equals(terms)) {
            account.terms = terms;
            account.accelerators = 0;
            account.jobs.values().forEach(job -> account.accelerators += job.largestStepAccelerators(terms));
        }
        return account.accelerators;
    }
}
