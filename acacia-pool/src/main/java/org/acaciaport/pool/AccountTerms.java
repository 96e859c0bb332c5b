package org.acaciaport.pool;

import java.util.Objects;

/**
 * What the operators grant to a client account.
 *
 * <p>Immutable.
 *
 * @param guaranteedAccelerators number of accelerators that the account gets for its work of the highest priority
 * @param weight weight of the account in the sharing of the pool; 0 if it has none
 * @param limit resources that its runs may use on all targets together; an amount of 0 means no limit
 */
public record AccountTerms(long guaranteedAccelerators, double weight, Resources limit) {
    /** Neither a guarantee nor a weight nor a limit. */
    public static final AccountTerms NONE = new AccountTerms(0, 0, Resources.NONE);

    /** Requires amounts that are not negative. */
    public AccountTerms {
        Objects.requireNonNull(limit, "limit");
        if (!Resources.NONE.fitsIn(limit) || guaranteedAccelerators < 0 || !(weight >= 0)) {
            throw new IllegalArgumentException(
                    "negative amount: guaranteed " + guaranteedAccelerators + ", weight " + weight + ", " + limit);
        }
    }

    /** Returns terms that guarantee {@code accelerators} and nothing else. */
    public static AccountTerms ofGuarantee(long accelerators) {
        return new AccountTerms(accelerators, 0, Resources.NONE);
    }

    /** Returns terms that only limit the account. */
    public static AccountTerms ofLimit(Resources limit) {
        return new AccountTerms(0, 0, limit);
    }

    /** Returns these terms without the limit. */
    AccountTerms withoutLimit() {
        return new AccountTerms(guaranteedAccelerators, weight, Resources.NONE);
    }

    /** Returns whether any resource is limited. */
    public boolean hasLimit() {
        return !limit.equals(Resources.NONE);
    }

    /** Returns whether runs that use {@code total} together are within the limit. */
    public boolean isWithinLimit(Resources total) {
        return isWithin(total.cpuMillis(), limit.cpuMillis())
                && isWithin(total.memoryMb(), limit.memoryMb())
                && isWithin(total.accelerators(), limit.accelerators());
    }

    private static boolean isWithin(long amount, long limit) {
        return limit == 0 || amount <= limit;
    }

    /**
     * Returns which limits {@code demand} exceeds by itself, as a text for callers; empty if it exceeds none.
     *
     * @param demand resources of tasks that start only together
     */
    public String describeExcess(Resources demand) {
        if (!isWithin(demand.accelerators(), limit.accelerators())) {
            return demand.accelerators() + " accelerators, and the limit is " + limit.accelerators();
        }
        if (!isWithin(demand.cpuMillis(), limit.cpuMillis())) {
            return demand.cpuMillis() + " thousandths of a core, and the limit is " + limit.cpuMillis();
        }
        if (!isWithin(demand.memoryMb(), limit.memoryMb())) {
            return demand.memoryMb() + " MB of memory, and the limit is " + limit.memoryMb();
        }
        return "";
    }
}
