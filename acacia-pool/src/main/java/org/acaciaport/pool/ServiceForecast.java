package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.acaciaport.admission.Outlook;

/**
 * The expected use of the accelerators of one service, in intervals of {@value #INTERVAL_MILLIS} ms up to a horizon.
 *
 * <p>Processor time and memory beyond those beside a task's accelerators count as more accelerators. Where the free
 * ones are is ignored, so waits are rather too short than too long. Not thread-safe; confined to the thread of the
 * pool.
 */
final class ServiceForecast {
    /** Length of an interval, in milliseconds. */
    static final int INTERVAL_MILLIS = 500;

    /**
     * Number of intervals. A request is refused only if its wait is over twice the time for which it is of use, which
     * is up to 76 s for the usual work, so the horizon is longer than that.
     */
    private static final int INTERVALS = 1_200;

    /** How far the forecast looks ahead, in milliseconds; a longer wait counts as this. */
    static final int HORIZON_MILLIS = INTERVALS * INTERVAL_MILLIS;

    private static final double INTERVALS_PER_SECOND = 1e3 / INTERVAL_MILLIS;

    /** Part of the capacity that a level may ask for; a small pool is hardly ever free as a whole. */
    private static final double MAX_CAPACITY_FRACTION = 0.5;

    private final LimitForecast limits;
    private Resources capacity = Resources.NONE;
    private final double[] freed = new double[INTERVALS];
    private final List<Run> runs = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean anyReady;

    /** The resources of a run, and the intervals in which it ends by itself and would end if it were stopped. */
    private record Run(int priority, double accelerators, int end, int stopped) {}

    /**
     * Tasks without a run.
     *
     * @param priority their priority
     * @param count how many they are
     * @param accelerators accelerators of each
     * @param ready interval from which they could start
     * @param late interval from which they go behind new work of the same priority, being late
     * @param useless interval from which they are of no use, so that lower priorities do not count them as ahead
     * @param length number of intervals for which each runs
     * @param claim what they take of the limit of their account
     */
    record Waiting(
            int priority,
            int count,
            double accelerators,
            int ready,
            int late,
            int useless,
            int length,
            LimitForecast.Claim claim) {}

    /**
     * Creates a forecast of a service without targets.
     *
     * @param limits the expected use of the limits of accounts, which all services share
     */
    ServiceForecast(LimitForecast limits) {
        this.limits = limits;
    }

    /** Adds the capacity of a target; all are added before anything else. */
    void addCapacity(Resources target) {
        capacity = capacity.plus(target);
    }

    /** Returns the number of accelerators that {@code demand} occupies. */
    double accelerators(Resources demand) {
        double cpu = share(demand.cpuMillis(), capacity.cpuMillis());
        double memory = share(demand.memoryMb(), capacity.memoryMb());
        return Math.max(demand.accelerators(), Math.max(cpu, memory));
    }

    /** Returns the number of accelerators that can be used with {@code free} resources. */
    double freeAccelerators(Resources free) {
        double cpu = capacity.cpuMillis() == 0 ? free.accelerators() : share(free.cpuMillis(), capacity.cpuMillis());
        double memory = capacity.memoryMb() == 0 ? free.accelerators() : share(free.memoryMb(), capacity.memoryMb());
        return Math.max(0, Math.min(free.accelerators(), Math.min(cpu, memory)));
    }

    private double share(long amount, long total) {
        return total == 0 ? 0 : (double) amount / total * capacity.accelerators();
    }

    /** Adds accelerators that are free from {@code seconds} on; at once if that is not positive. */
    void addFree(double accelerators, double seconds) {
        int interval = intervalOf(seconds);
        if (interval < INTERVALS) {
            freed[interval] += accelerators;
        }
    }

    /** Adds a run that ends by itself in {@code seconds}, or in {@code stopSeconds} after a stop. */
    void addRun(int priority, double accelerators, double seconds, double stopSeconds) {
        int end = Math.max(1, intervalOf(seconds));
        runs.add(new Run(priority, accelerators, end, Math.min(end, Math.max(1, intervalOf(stopSeconds)))));
    }

    /** Adds tasks without a run. */
    void addWaiting(Waiting tasks) {
        anyReady |= tasks.ready == 0;
        waiting.add(tasks);
    }

    /** Returns the interval that {@code seconds} from now lie in, rounded up, at most {@value #INTERVALS}. */
    static int intervalOf(double seconds) {
        return (int) Math.clamp(Math.ceil(seconds * INTERVALS_PER_SECOND), 0, INTERVALS);
    }

    /** Returns the outlook; empty if nothing waits now or more work would not wait at any priority. */
    Optional<Outlook.Service> outlook(String name) {
        if (!anyReady) {
            return Optional.empty();
        }
        TreeSet<Integer> priorities = new TreeSet<>();
        runs.forEach(run -> priorities.add(run.priority));
        waiting.forEach(tasks -> priorities.add(tasks.priority));
        List<Outlook.Wait> waits = new ArrayList<>();
        boolean anyWait = false;
        for (int priority : priorities) {
            if (priority >= 0) {
                Outlook.Wait wait = new Outlook.Wait(priority, waitMillis(priority));
                waits.add(wait);
                anyWait |= wait.millis().getLast() > 0;
            }
        }
        long accelerators = Math.max(1, capacity.accelerators());
        return anyWait
                ? Optional.of(new Outlook.Service(
                        name, capacity.cpuMillis() / accelerators, capacity.memoryMb() / accelerators, waits))
                : Optional.empty();
    }

    /**
     * Returns the times until as many more accelerators could start at {@code priority} as the levels say, in
     * milliseconds: all that waits at a higher priority goes first, and at this one what is in time.
     */
    private List<Integer> waitMillis(int priority) {
        double[] freedAt = freedFor(priority);
        List<List<Waiting>> readyAt = readyFor(priority);
        List<Integer> millis = new ArrayList<>();
        SimulatedQueue queue = new SimulatedQueue(priority, limits.room(priority), freedAt);
        double free = 0;
        for (int interval = 0; interval < INTERVALS; interval++) {
            free += freedAt[interval];
            readyAt.get(interval).forEach(queue::add);
            free = queue.start(interval, free);
            while (!queue.lacksCapacity()
                    && millis.size() < Outlook.LEVELS.size()
                    && free + SimulatedQueue.TOLERANCE >= level(millis.size())) {
                millis.add(interval * INTERVAL_MILLIS);
            }
            if (millis.size() == Outlook.LEVELS.size()) {
                return millis;
            }
        }
        while (millis.size() < Outlook.LEVELS.size()) {
            millis.add(HORIZON_MILLIS);
        }
        return millis;
    }

    private double level(int number) {
        return Math.min(Outlook.LEVELS.get(number), capacity.accelerators() * MAX_CAPACITY_FRACTION);
    }

    /** Returns the accelerators freed in each interval, where the highest priority stops runs of all others. */
    private double[] freedFor(int priority) {
        double[] freedAt = freed.clone();
        for (Run run : runs) {
            int end = priority == 0 && run.priority > 0 ? run.stopped : run.end;
            if (end < INTERVALS) {
                freedAt[end] += run.accelerators;
            }
        }
        return freedAt;
    }

    private List<List<Waiting>> readyFor(int priority) {
        List<List<Waiting>> readyAt = new ArrayList<>();
        for (int interval = 0; interval < INTERVALS; interval++) {
            readyAt.add(new ArrayList<>(0));
        }
        for (Waiting tasks : waiting) {
            if (tasks.priority <= priority && tasks.ready < INTERVALS) {
                readyAt.get(tasks.ready).add(tasks);
            }
        }
        return readyAt;
    }
}
