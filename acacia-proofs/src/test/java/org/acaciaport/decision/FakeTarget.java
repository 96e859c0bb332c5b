package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.acaciaport.config.Target;

/** A target as a randomised run sees it: what it holds, what runs on it, and its own record of starts. */
final class FakeTarget {
    /** One start, for the target's own record. */
    record StartRecord(String request, long attempt, int member, long at) {}

    /** Accelerators held until a time. */
    private record Reservation(int units, long until) {}

    private final Target target;
    private final Map<String, Reservation> reservations = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Set<String> closedKeys = new HashSet<>();
    private final List<StartRecord> starts = new ArrayList<>();
    private long epoch;
    private int incarnation;
    private boolean up = true;
    private boolean failsAll;
    private boolean ignoresTreatments;

    FakeTarget(Target target) {
        this.target = target;
    }

    String id() {
        return target.id();
    }

    Target target() {
        return target;
    }

    boolean isUp() {
        return up;
    }

    boolean failsAll() {
        return failsAll;
    }

    void setFailsAll(boolean value) {
        failsAll = value;
    }

    boolean ignoresTreatments() {
        return ignoresTreatments;
    }

    void setIgnoresTreatments(boolean value) {
        ignoresTreatments = value;
    }

    List<StartRecord> starts() {
        return starts;
    }

    /** Goes down; everything on it ends. */
    void crash() {
        up = false;
        reservations.clear();
        running.clear();
        closedKeys.clear();
    }

    int incarnation() {
        return incarnation;
    }

    void restart() {
        incarnation++;
        up = true;
    }

    /** Refuses callers of an older epoch; a newer one ends what was only held. */
    boolean acceptEpoch(long callerEpoch) {
        if (callerEpoch > epoch) {
            epoch = callerEpoch;
            reservations.clear();
        }
        return up && callerEpoch == epoch;
    }

    boolean reserve(String key, int units, long now, long until) {
        reservations.values().removeIf(reservation -> reservation.until() < now);
        if (closedKeys.contains(key) || inUse() + units > target.accelerators()) {
            return false;
        }
        reservations.put(key, new Reservation(units, until));
        return true;
    }

    /** Gives a place up for good, also if the reservation arrives later. */
    void release(String key) {
        closedKeys.add(key);
        reservations.remove(key);
    }

    /** Starts a task unless it is late, known or does not fit; returns whether it runs now for the first time. */
    boolean start(Command.Start start, long now) {
        String key = memberKey(
                start.request().id(), start.attempt().number(), start.member().index());
        reservations.values().removeIf(r -> r.until() < now);
        Reservation reservation = reservations.remove(key);
        boolean fits = reservation != null || inUse() + start.member().units() <= target.accelerators();
        if (now >= start.attempt().startBefore() || !fits || !closedKeys.add(key)) {
            return false;
        }
        running.put(key, start.member().units());
        starts.add(new StartRecord(
                start.request().id(), start.attempt().number(), start.member().index(), now));
        return true;
    }

    /** Refuses the task for good if it was not started yet; returns whether that is so. */
    boolean refuseIfNotStarted(String key) {
        reservations.remove(key);
        return closedKeys.add(key);
    }

    Set<String> runningKeys() {
        return new TreeSet<>(running.keySet());
    }

    boolean end(String key) {
        return running.remove(key) != null;
    }

    void resume(String key, int units) {
        running.put(key, units);
    }

    private int inUse() {
        return reservations.values().stream().mapToInt(Reservation::units).sum()
                + running.values().stream().mapToInt(Integer::intValue).sum();
    }

    static String memberKey(String request, long attempt, int member) {
        return request + '#' + attempt + '#' + member;
    }
}
