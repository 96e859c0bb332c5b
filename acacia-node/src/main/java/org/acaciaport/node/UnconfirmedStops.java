package org.acaciaport.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.pool.TargetCommand;

/**
 * The stop commands of a session that the target has not confirmed, in the order in which they were first sent.
 *
 * <p>Not thread-safe; guarded by the lock of its session.
 */
final class UnconfirmedStops {
    /** When each stop is sent again, on the monotonic clock, in nanoseconds. */
    private final Map<TargetCommand.Stop, Long> stops = new LinkedHashMap<>();

    /** Adds a stop, or changes when it is sent again, on the monotonic clock, in nanoseconds. */
    void put(TargetCommand.Stop stop, long resendNanos) {
        stops.put(stop, resendNanos);
    }

    void remove(TargetCommand.Stop stop) {
        stops.remove(stop);
    }

    boolean isEmpty() {
        return stops.isEmpty();
    }

    void clear() {
        stops.clear();
    }

    /** Returns whether a stop concerns the run that {@code start} would start. */
    boolean concern(TargetCommand.Start start) {
        for (TargetCommand.Stop stop : stops.keySet()) {
            if (stop.task().equals(start.task()) && stop.run() >= start.run()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the stops that are due to be sent again. */
    List<TargetCommand.Stop> due() {
        List<TargetCommand.Stop> due = new ArrayList<>();
        stops.forEach((stop, resendNanos) -> {
            if (System.nanoTime() - resendNanos >= 0) {
                due.add(stop);
            }
        });
        return due;
    }
}
