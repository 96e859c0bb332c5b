package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A target in virtual time that can be cut off, so that its ends are reported late, or restart. */
final class FlakyTarget {
    /** Time after the last contact at which the lease of the target ends, in milliseconds. */
    static final long LEASE_MILLIS = 6_000;

    final String id;
    final Map<TaskId, Integer> running = new LinkedHashMap<>();

    /** All ends of all incarnations, also those that were acknowledged. */
    final List<End> ends = new ArrayList<>();

    long incarnation = 1;
    long cutUntilMillis;
    long lastContactMillis;
    private final Map<TaskId, Integer> barred = new HashMap<>();
    private long lastNumber;

    /** The end of a run; mutable. */
    static final class End {
        final TargetReport.Ended reported;
        final long incarnation;
        final long millis;

        /** Whether the target was told that it need not report the end again, before its lease ended. */
        boolean noted;

        /** Whether the lease of the target has ended since the run did. */
        boolean lapsed;

        /** Whether the target does not report the end any more. */
        boolean forgotten;

        private End(TargetReport.Ended reported, long incarnation, long millis) {
            this.reported = reported;
            this.incarnation = incarnation;
            this.millis = millis;
        }
    }

    FlakyTarget(String id) {
        this.id = id;
    }

    boolean isCut(long nowMillis) {
        return nowMillis < cutUntilMillis;
    }

    /** Starts a run unless one as high has ended or was stopped here; returns whether the run is there. */
    boolean start(TargetCommand.Start start) {
        if (start.incarnation() != incarnation || barred.getOrDefault(start.task(), 0) >= start.run()) {
            return false;
        }
        running.put(start.task(), start.run());
        return true;
    }

    /** Ends a run; has no effect if it is not running. Returns whether it was. */
    boolean end(TaskId task, int run, TargetReport.EndReason reason, long nowMillis) {
        barred.merge(task, run, Math::max);
        if (!running.remove(task, run)) {
            return false;
        }
        lastNumber++;
        ends.add(new End(new TargetReport.Ended(lastNumber, task, run, reason, ""), incarnation, nowMillis));
        return true;
    }

    /** Ends all runs if the lease has ended; ends that are not noted yet never will be. */
    void expireLease(long nowMillis) {
        if (nowMillis - lastContactMillis <= LEASE_MILLIS) {
            return;
        }
        runs().forEach((task, run) -> end(task, run, TargetReport.EndReason.LAPSED, nowMillis));
        ends.forEach(end -> end.lapsed = true);
    }

    /** Returns a copy of the runs, in the order in which they were started. */
    Map<TaskId, Integer> runs() {
        return new LinkedHashMap<>(running);
    }

    /** Loses all runs and ends. */
    void restart() {
        incarnation++;
        running.clear();
        barred.clear();
        lastNumber = 0;
        ends.forEach(end -> end.forgotten = true);
    }

    void acknowledge(Batch.Acknowledgement acknowledgement) {
        for (End end : ends) {
            boolean covered = end.incarnation == acknowledgement.incarnation()
                    && end.incarnation == incarnation
                    && end.reported.number() <= acknowledgement.upTo();
            if (covered && !end.forgotten) {
                end.noted = !end.lapsed;
                end.forgotten = true;
            }
        }
    }

    TargetReport report(long nowMillis, long requestNanos) {
        lastContactMillis = nowMillis;
        List<TargetReport.Running> runs = new ArrayList<>();
        running.forEach((task, run) -> runs.add(new TargetReport.Running(task, run, "", (int) (nowMillis / 50 % 100))));
        List<TargetReport.Ended> unacknowledged = ends.stream()
                .filter(end -> !end.forgotten)
                .map(end -> end.reported)
                .toList();
        return new TargetReport(id, incarnation, requestNanos, runs, unacknowledged, true);
    }
}
