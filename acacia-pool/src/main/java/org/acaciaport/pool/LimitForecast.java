package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The expected use of the limits of client accounts, on all targets together; accounts without a limit are ignored.
 *
 * <p>Not thread-safe; confined to the thread of the pool.
 */
final class LimitForecast {
    private final PoolSettings settings;
    private final AccountUsage usage;
    private final List<Run> runs = new ArrayList<>();

    /** A run, and the intervals in which it ends by itself and would end if it were stopped. */
    private record Run(Claim claim, int priority, int end, int stopped) {}

    /**
     * What tasks take of the limit of their account.
     *
     * @param account the account
     * @param demand full demand of a task
     * @param gang whether the tasks start only together
     */
    record Claim(String account, Resources demand, boolean gang) {
        static Claim of(StepExecution step) {
            return new Claim(
                    step.job.spec.account(),
                    step.spec.demand(),
                    step.spec.mode().gang());
        }
    }

    LimitForecast(PoolSettings settings, AccountUsage usage) {
        this.settings = settings;
        this.usage = usage;
    }

    /** Adds a run, which {@link AccountUsage} includes, with the intervals in which it ends. */
    void addRun(Claim claim, int priority, int end, int stopped) {
        if (settings.terms(claim.account).hasLimit()) {
            runs.add(new Run(claim, priority, Math.max(1, end), Math.max(1, stopped)));
        }
    }

    /** Returns whether {@code count} tasks, or one unless they are a gang, could start if nothing else ran. */
    boolean isStartable(Claim claim, int count) {
        return settings.terms(claim.account).isWithinLimit(Resources.sumOf(claim.demand, claim.gang ? count : 1));
    }

    /** Returns the room in a simulation of {@code priority}, of which the highest stops runs of all others. */
    Room room(int priority) {
        Room room = new Room();
        for (Run run : runs) {
            room.releaseAt(priority == 0 && run.priority > 0 ? run.stopped : run.end, run.claim, 1);
        }
        return room;
    }

    /** Some tasks that end together. */
    private record Release(Claim claim, int count) {}

    /** The room under the limits in one simulation. */
    final class Room {
        private final Map<String, Resources> used = new HashMap<>();
        private final Map<Integer, List<Release>> releases = new HashMap<>();

        private void releaseAt(int interval, Claim claim, int count) {
            releases.computeIfAbsent(interval, key -> new ArrayList<>()).add(new Release(claim, count));
        }

        private Resources used(String account) {
            return used.computeIfAbsent(account, usage::running);
        }

        /** Releases what ends in {@code interval}; returns the accounts that get room. */
        Set<String> advance(int interval) {
            Set<String> accounts = new HashSet<>();
            for (Release release : releases.getOrDefault(interval, List.of())) {
                String account = release.claim.account;
                Resources freed = Resources.sumOf(release.claim.demand, release.count);
                used.put(account, used(account).minus(freed));
                accounts.add(account);
            }
            return accounts;
        }

        /** Returns how many of {@code count} tasks may start now; of a gang, all or none. */
        int countStartable(Claim claim, int count) {
            AccountTerms terms = settings.terms(claim.account);
            if (!terms.hasLimit()) {
                return count;
            }
            Resources limit = terms.limit();
            Resources taken = used(claim.account);
            Resources room = new Resources(
                    room(limit.cpuMillis(), taken.cpuMillis()),
                    room(limit.memoryMb(), taken.memoryMb()),
                    room(limit.accelerators(), taken.accelerators()));
            int startable = claim.demand.countFitting(room, count);
            return claim.gang && startable < count ? 0 : startable;
        }

        private static long room(long limit, long taken) {
            return limit == 0 ? Long.MAX_VALUE : limit - taken;
        }

        /** Starts {@code count} tasks, which end in the interval {@code end}. */
        void start(Claim claim, int count, int end) {
            if (settings.terms(claim.account).hasLimit()) {
                used.put(claim.account, used(claim.account).plus(Resources.sumOf(claim.demand, count)));
                releaseAt(end, claim, count);
            }
        }
    }
}
