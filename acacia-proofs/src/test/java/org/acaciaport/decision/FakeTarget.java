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
    record Started(String request, long attempt, int member, long at) {}

    /** Accelerators held until a time. */
    private record Hold(int units, long until) {}

    private final Target target;
    private final Map<String, Hold> held = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Set<String> known = new HashSet<>();
    private final List<Started> started = new ArrayList<>();
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

    boolean up() {
        return up;
    }

    boolean failsAll() {
        return failsAll;
    }

    void setFailsAll(boolean next) {
        failsAll = next;
    }

    boolean ignoresTreatments() {
        return ignoresTreatments;
    }

    void setIgnoresTreatments(boolean next) {
        ignoresTreatments = next;
    }

    List<Started> started() {
        return started;
    }

    /** Goes down; everything on it ends. */
    void crash() {
        up = false;
        held.clear();
        running.clear();
        known.clear();
    }

    int incarnation() {
        return incarnation;
    }

    void restart() {
        incarnation++;
        up = true;
    }

    /** Refuses callers of an older epoch; a newer one ends what was only held. */
    boolean rules(long caller) {
        if (caller > epoch) {
            epoch = caller;
            held.clear();
        }
        return up && caller == epoch;
    }

    boolean reserve(String key, int units, long now, long until) {
        held.values().removeIf(hold -> hold.until() < now);
        if (known.contains(key) || inUse() + units > target.accelerators()) {
            return false;
        }
        held.put(key, new Hold(units, until));
        return true;
    }

    /** Gives a place up for good, also if the reservation arrives later. */
    void release(String key) {
        known.add(key);
        held.remove(key);
    }

    /** Starts a task unless it is late, known or does not fit; returns whether it runs now for the first time. */
    boolean start(Command.Start start, long now) {
        String key = key(
                start.request().id(), start.attempt().number(), start.member().index());
        held.values().removeIf(other -> other.until() < now);
        Hold hold = held.remove(key);
        boolean fits = hold != null || inUse() + start.member().units() <= target.accelerators();
        if (now >= start.attempt().startBefore() || !fits || !known.add(key)) {
            return false;
        }
        running.put(key, start.member().units());
        started.add(new Started(
                start.request().id(), start.attempt().number(), start.member().index(), now));
        return true;
    }

    /** Refuses the task for good if it was not started yet; returns whether that is so. */
    boolean refuse(String key) {
        held.remove(key);
        return known.add(key);
    }

    Set<String> running() {
        return new TreeSet<>(running.keySet());
    }

    boolean end(String key) {
        return running.remove(key) != null;
    }

    void resume(String key, int units) {
        running.put(key, units);
    }

    private int inUse() {
        return held.values().stream().mapToInt(Hold::units).sum()
                + running.values().stream().mapToInt(Integer::intValue).sum();
    }

    static String key(String request, long attempt, int member) {
        return request + '#' + attempt + '#' + member;
    }
}
