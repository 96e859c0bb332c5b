package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.acaciaport.config.Target;

/**
 * A fake target with reservations, running members, and a history of starts.
 *
 * <p>Members are identified by their {@link #memberKey}. Times are virtual, in milliseconds. Not thread-safe.
 */
final class FakeTarget {
    /** The start of a member at time {@code at}. */
    record StartRecord(String request, long attempt, int member, long at) {}

    /** A reservation of {@code units} accelerators that expires after {@code until}. */
    private record Reservation(int units, long until) {}

    private final Target target;
    private final Map<String, Reservation> reservations = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();

    /** Members that were started, released or refused, and that can no longer be reserved or started. */
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

    /** Returns whether every member that starts here fails. */
    boolean failsAll() {
        return failsAll;
    }

    void setFailsAll(boolean value) {
        failsAll = value;
    }

    /** Returns whether this target ignores commands to checkpoint or throttle a member. */
    boolean ignoresTreatments() {
        return ignoresTreatments;
    }

    void setIgnoresTreatments(boolean value) {
        ignoresTreatments = value;
    }

    /** Returns all starts since the beginning of the simulation; a crash does not clear them. */
    List<StartRecord> starts() {
        return starts;
    }

    /** Crashes this target: its members end, and its reservations and closed members are forgotten. */
    void crash() {
        up = false;
        reservations.clear();
        running.clear();
        closedKeys.clear();
    }

    /** Returns the number of restarts, which tells commands sent before a restart from later ones. */
    int incarnation() {
        return incarnation;
    }

    void restart() {
        incarnation++;
        up = true;
    }

    /**
     * Returns whether this target accepts a command of a leader of {@code callerEpoch}.
     *
     * <p>The epoch is a fencing token: commands of earlier epochs than the latest are refused. The first command of a
     * later epoch drops all reservations. A target that is down accepts nothing.
     */
    boolean acceptEpoch(long callerEpoch) {
        if (callerEpoch > epoch) {
            epoch = callerEpoch;
            reservations.clear();
        }
        return up && callerEpoch == epoch;
    }

    /** Reserves accelerators until {@code until}; returns false if they are not free or the member is closed. */
    boolean reserve(String key, int units, long now, long until) {
        reservations.values().removeIf(reservation -> reservation.until() < now);
        if (closedKeys.contains(key) || inUse() + units > target.accelerators()) {
            return false;
        }
        reservations.put(key, new Reservation(units, until));
        return true;
    }

    /** Releases the place of a member; a reservation or start of it that arrives later is refused. */
    void release(String key) {
        closedKeys.add(key);
        reservations.remove(key);
    }

    /**
     * Starts a member unless its deadline has passed, it was closed before, or it has no reservation and does not fit.
     *
     * @return whether it was started
     */
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

    /** Closes a member if it was not closed before, so that a later start is refused; returns whether it closed it. */
    boolean refuseIfNotStarted(String key) {
        reservations.remove(key);
        return closedKeys.add(key);
    }

    /** Returns the members that run, in the order of their keys. */
    Set<String> runningKeys() {
        return new TreeSet<>(running.keySet());
    }

    /** Ends a member; returns whether it was running. */
    boolean end(String key) {
        return running.remove(key) != null;
    }

    /** Runs a paused member again on {@code units} accelerators, without a check that they are free. */
    void resume(String key, int units) {
        running.put(key, units);
    }

    private int inUse() {
        return reservations.values().stream().mapToInt(Reservation::units).sum()
                + running.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the key of a member: its request, attempt number and index, separated by {@code #}. */
    static String memberKey(String request, long attempt, int member) {
        return request + '#' + attempt + '#' + member;
    }
}
