package org.acaciaport.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The waiting work of a service in a simulation of one priority, in the order in which it starts.
 *
 * <p>Work that only waits for the limit of its account is set aside until the account gets room, so that it delays no
 * other work. Not thread-safe; confined to the thread of the pool.
 */
final class SimulatedQueue {
    /** Tolerance for sums of accelerators, which are not whole. */
    static final double TOLERANCE = 1e-6;

    /**
     * Part of the free accelerators that work of higher priorities takes once it is of no use. The pool starts it
     * first, but without a bound a backlog of it would refuse all other work.
     */
    private static final double USELESS_FRACTION = 0.9;

    private final int priority;
    private final LimitForecast.Room room;

    /** The accelerators freed in each interval, to which ends of simulated runs are added. */
    private final double[] freedAt;

    private final Deque<Entry> queue = new ArrayDeque<>();

    /** Work of higher priorities that is of no use any more. */
    private final Deque<Entry> useless = new ArrayDeque<>();

    /** Work that waits for the limit of its account, by account. */
    private final Map<String, Deque<Entry>> heldByAccount = new HashMap<>();

    /** Equal tasks, of which {@code remaining} wait. */
    private static final class Entry {
        final ServiceForecast.Waiting tasks;
        int remaining;
        boolean wasHeld;

        Entry(ServiceForecast.Waiting tasks) {
            this.tasks = tasks;
            remaining = tasks.count();
        }

        String account() {
            return tasks.claim().account();
        }
    }

    SimulatedQueue(int priority, LimitForecast.Room room, double[] freedAt) {
        this.priority = priority;
        this.room = room;
        this.freedAt = freedAt;
    }

    void add(ServiceForecast.Waiting tasks) {
        queue.add(new Entry(tasks));
    }

    /** Returns whether work that is of use waits for capacity. */
    boolean lacksCapacity() {
        return !queue.isEmpty();
    }

    /** Starts tasks in turn while {@code free} accelerators last; returns those that stay free. */
    double start(int interval, double free) {
        room.advance(interval).forEach(this::resumeNext);
        double left = startUseless(interval, free);
        while (!queue.isEmpty()) {
            Entry first = queue.peek();
            if (isBehindNewWork(first.tasks, interval)) {
                queue.remove();
                if (first.tasks.priority() < priority) {
                    useless.add(first);
                }
                resumeNext(first.account());
                continue;
            }
            int permitted = room.countStartable(first.tasks.claim(), first.remaining);
            int started = startTasks(first, permitted, left, interval);
            left -= started * first.tasks.accelerators();
            if (started < permitted) {
                return left;
            }
            queue.remove();
            if (first.remaining > 0) {
                hold(first);
            } else {
                resumeNext(first.account());
            }
        }
        return left;
    }

    /** Returns whether new work of the simulated priority would start before {@code tasks}. */
    private boolean isBehindNewWork(ServiceForecast.Waiting tasks, int interval) {
        return interval >= (tasks.priority() == priority ? tasks.late() : tasks.useless());
    }

    /** Starts work that is of no use within its share; returns the accelerators that stay free. */
    private double startUseless(int interval, double free) {
        double share = free * USELESS_FRACTION;
        double left = share;
        while (!useless.isEmpty()) {
            Entry first = useless.peek();
            int permitted = room.countStartable(first.tasks.claim(), first.remaining);
            left -= startTasks(first, permitted, left, interval) * first.tasks.accelerators();
            if (first.remaining > 0) {
                break;
            }
            useless.remove();
        }
        return free - (share - left);
    }

    /** Starts at most {@code permitted} tasks of {@code entry} on {@code free} accelerators; returns how many. */
    private int startTasks(Entry entry, int permitted, double free, int interval) {
        double each = entry.tasks.accelerators();
        int count = each <= 0 ? permitted : (int) Math.min(permitted, (free + TOLERANCE) / each);
        if (count == 0) {
            return 0;
        }
        entry.remaining -= count;
        int end = interval + entry.tasks.length();
        if (end < freedAt.length) {
            freedAt[end] += count * each;
        }
        room.start(entry.tasks.claim(), count, end);
        return count;
    }

    private void hold(Entry entry) {
        Deque<Entry> held = heldByAccount.computeIfAbsent(entry.account(), account -> new ArrayDeque<>());
        if (entry.wasHeld) {
            held.addFirst(entry);
        } else {
            held.addLast(entry);
        }
        entry.wasHeld = true;
    }

    /** Moves the first work that waits for the limit of {@code account} to the head of the queue. */
    private void resumeNext(String account) {
        Deque<Entry> held = heldByAccount.get(account);
        if (held != null && !held.isEmpty()) {
            queue.addFirst(held.remove());
        }
    }
}
