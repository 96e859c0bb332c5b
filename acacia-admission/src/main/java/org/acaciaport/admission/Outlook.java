package org.acaciaport.admission;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What the leader expects of the near future: when more accelerators could start, for each service and priority.
 *
 * <p>Immutable. A service or priority that is not listed has no wait.
 *
 * @param services the services for which requests would wait
 */
public record Outlook(List<Service> services) {
    /** The outlook while nothing waits. */
    public static final Outlook NO_WAIT = new Outlook(List.of());

    /** The numbers of accelerators for which a wait is given, ascending. */
    public static final List<Integer> LEVELS = List.of(1, 8, 40, 160);

    /** Longest wait that is believed, in milliseconds; a leader looks ahead ten minutes. */
    static final int MAX_WAIT_MILLIS = 60 * 60 * 1_000;

    /** Largest amount of a resource beside one accelerator that is believed, in thousandths of a core or megabytes. */
    private static final long MAX_AMOUNT = 1L << 40;

    /** Creates an outlook with an immutable copy of {@code services}. */
    public Outlook {
        services = List.copyOf(services);
    }

    /**
     * The outlook of one service.
     *
     * @param name name of the service
     * @param cpuMillis processor time beside each accelerator of its targets, in thousandths of a core; 0 if unknown
     * @param memoryMb memory beside each accelerator of its targets, in megabytes; 0 if unknown
     * @param waits the waits by priority, ascending
     */
    public record Service(String name, long cpuMillis, long memoryMb, List<Wait> waits) {
        /**
         * Creates the outlook of a service with an immutable copy of {@code waits}.
         *
         * @throws IllegalArgumentException if an amount is negative or absurdly large
         */
        public Service {
            Objects.requireNonNull(name, "name");
            requireBetween("processor time beside an accelerator", cpuMillis, MAX_AMOUNT);
            requireBetween("memory beside an accelerator", memoryMb, MAX_AMOUNT);
            waits = List.copyOf(waits);
        }

        /**
         * Returns the number of accelerators that {@code tasks} occupy; processor time and memory beyond those beside
         * their accelerators count as more accelerators.
         */
        double acceleratorsFor(AdmissionPolicy.Tasks tasks) {
            double share = tasks.accelerators();
            if (cpuMillis > 0) {
                share = Math.max(share, (double) tasks.cpuMillis() / cpuMillis);
            }
            if (memoryMb > 0) {
                share = Math.max(share, (double) tasks.memoryMb() / memoryMb);
            }
            return share * tasks.count();
        }

        /**
         * Returns the expected time until {@code accelerators} more could start at {@code priority}, in milliseconds. A
         * priority that is not listed waits at least as long as the next higher one that is.
         */
        long waitMillis(int priority, double accelerators) {
            Wait found = null;
            for (Wait wait : waits) {
                if (wait.priority() <= priority) {
                    found = wait;
                }
            }
            return found == null ? 0 : found.millisFor(accelerators);
        }
    }

    /**
     * The waits at one priority.
     *
     * @param priority the priority; 0 is the highest
     * @param millis expected times until as many more accelerators could start as {@link #LEVELS} says, in
     *     milliseconds; never descending
     */
    public record Wait(int priority, List<Integer> millis) {
        /**
         * Creates waits with an immutable copy of {@code millis}.
         *
         * @throws IllegalArgumentException if the priority is negative, or a wait is missing, negative, absurdly long
         *     or shorter than that for fewer accelerators
         */
        public Wait {
            millis = List.copyOf(millis);
            requireBetween("priority", priority, Integer.MAX_VALUE);
            if (millis.size() != LEVELS.size()) {
                throw new IllegalArgumentException(millis.size() + " waits instead of " + LEVELS.size());
            }
            int previous = 0;
            for (int each : millis) {
                requireBetween("wait", each, MAX_WAIT_MILLIS);
                if (each < previous) {
                    throw new IllegalArgumentException("waits are not ascending: " + millis);
                }
                previous = each;
            }
        }

        /** Returns the wait for {@code accelerators}, interpolated between the levels around it. */
        long millisFor(double accelerators) {
            int before = LEVELS.get(0);
            int waitBefore = millis.get(0);
            for (int i = 0; i < LEVELS.size(); i++) {
                int level = LEVELS.get(i);
                if (accelerators <= level) {
                    double fraction = level == before ? 1 : Math.max(0, accelerators - before) / (level - before);
                    return Math.round(waitBefore + fraction * (millis.get(i) - waitBefore));
                }
                before = level;
                waitBefore = millis.get(i);
            }
            return waitBefore;
        }
    }

    private static void requireBetween(String what, long value, long max) {
        if (value < 0 || value > max) {
            throw new IllegalArgumentException(what + " is " + value + ", not from 0 to " + max);
        }
    }

    /** Returns whether no request would wait. */
    public boolean isEmpty() {
        return services.isEmpty();
    }

    /** Returns the outlook of a service; empty if its requests would not wait. */
    Optional<Service> find(String name) {
        for (Service service : services) {
            if (service.name().equals(name)) {
                return Optional.of(service);
            }
        }
        return Optional.empty();
    }
}
