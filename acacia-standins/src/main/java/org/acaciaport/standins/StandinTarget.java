package org.acaciaport.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.acaciaport.config.Treatment;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.HttpTargetClient;
import org.acaciaport.platform.TargetClient;

/**
 * A stand-in for one target.
 *
 * <p>The operations follow the contract of {@link TargetClient}. No work is run: a task ends after the time that its
 * payload names as {@code run-millis=N}, or after {@value #DEFAULT_RUN_MILLIS} ms, and fails if the payload contains
 * {@code fail}.
 *
 * <p>Rejects calls with a stale epoch, with another incarnation, after the start deadline, or for more accelerators
 * than are free. Stops all tasks when its lease expires.
 *
 * <p>Thread-safe.
 */
final class StandinTarget {
    private static final Pattern RUN_MILLIS = Pattern.compile("run-millis=([0-9]+)");
    private static final long DEFAULT_RUN_MILLIS = 100;
    private static final long TREATMENT_MILLIS = 20;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;

    private final int accelerators;
    private final String incarnation = UUID.randomUUID().toString();
    private final ScheduledExecutorService timer;
    private final Faults faults = new Faults();
    private final Map<String, VersionedTask> tasks = new LinkedHashMap<>();
    private final Map<String, Reservation> reservations = new HashMap<>();
    private final List<StartRecord> starts = new ArrayList<>();

    /** Highest epoch that any caller has used. */
    private long epoch;

    /** Version of the newest change to a task. */
    private long version = 1;

    private long leaseExpiresAtMillis = Long.MAX_VALUE;

    StandinTarget(int accelerators, ScheduledExecutorService timer) {
        this.accelerators = accelerators;
        this.timer = timer;
    }

    /**
     * One start of a task, recorded so that tests can count starts.
     *
     * @param request identifier of the request
     * @param profile name of the request's profile
     * @param attempt number of the attempt
     * @param member index of the member
     * @param at time of the start on the wall clock, in milliseconds since the Unix epoch
     */
    record StartRecord(String request, String profile, long attempt, int member, long at) {}

    /** A number of accelerators reserved until a deadline. */
    private record Reservation(int units, long expiresAtMillis) {}

    /** A task and the version at which it last changed. */
    private record VersionedTask(TargetClient.Task task, long version) {}

    Faults faults() {
        return faults;
    }

    synchronized List<StartRecord> starts() {
        return List.copyOf(starts);
    }

    synchronized TargetClient.Report poll(HttpTargetClient.Poll poll) throws HttpProblem {
        admitEpoch(poll.epoch());
        long polledAtMillis = nowMillis();
        leaseExpiresAtMillis = polledAtMillis + poll.leaseMillis();
        long waitDeadlineMillis = polledAtMillis + poll.waitMillis();
        while (version <= poll.since() && nowMillis() < waitDeadlineMillis) {
            try {
                wait(Math.max(1, waitDeadlineMillis - nowMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        admitEpoch(poll.epoch());
        List<TargetClient.Task> changed = new ArrayList<>();
        for (VersionedTask versionedTask : tasks.values()) {
            if (versionedTask.version() > poll.since()) {
                changed.add(versionedTask.task());
            }
        }
        return new TargetClient.Report(incarnation, nowMillis(), version, changed);
    }

    synchronized void reserve(HttpTargetClient.Reserve reserve) throws HttpProblem {
        TargetClient.Place place = reserve.place();
        admitEpoch(place.epoch());
        reservations.values().removeIf(reservation -> reservation.expiresAtMillis() < nowMillis());
        // The task was started already, or a release left it as not-started so that a late reservation fails.
        if (tasks.containsKey(taskKey(place))) {
            throw conflict("the place was given up");
        }
        if (!reservations.containsKey(taskKey(place)) && acceleratorsInUse() + place.units() > accelerators) {
            throw conflict("accelerators are in use");
        }
        reservations.put(taskKey(place), new Reservation(place.units(), nowMillis() + reserve.holdMillis()));
    }

    synchronized void release(TargetClient.Place place) throws HttpProblem {
        admitEpoch(place.epoch());
        reservations.remove(taskKey(place));
        if (!tasks.containsKey(taskKey(place))) {
            setState(place, "not-started", "");
        }
    }

    synchronized void start(HttpTargetClient.Start start) throws HttpProblem {
        TargetClient.Place place = start.place();
        admitEpoch(place.epoch());
        if (!start.incarnation().equals(incarnation)) {
            throw conflict("the target was restarted");
        }
        if (hasState(place, "not-started")) {
            throw conflict("the task was stopped before its start");
        }
        // Starting the same task again has no further effect.
        if (tasks.containsKey(taskKey(place))) {
            return;
        }
        if (nowMillis() >= start.startBefore()) {
            throw new HttpProblem(PRECONDITION_FAILED, "expired", "the start deadline has passed", "place it again");
        }
        Reservation reservation = reservations.remove(taskKey(place));
        if (reservation == null && acceleratorsInUse() + place.units() > accelerators) {
            throw conflict("accelerators are in use");
        }
        starts.add(
                new StartRecord(place.request(), start.work().profile(), place.attempt(), place.member(), nowMillis()));
        setState(place, "running", "");
        scheduleEnd(place, start.work().payload());
    }

    /** Schedules the end of a running task. */
    private void scheduleEnd(TargetClient.Place place, String payload) {
        Matcher matcher = RUN_MILLIS.matcher(payload);
        long millis = matcher.find() ? Long.parseLong(matcher.group(1)) : DEFAULT_RUN_MILLIS;
        boolean fails = faults.failsAllTasks() || payload.contains("fail");
        timer.schedule(
                () -> transition(
                        place, "running", fails ? "failed" : "ended", fails ? "task failed" : "output of " + payload),
                millis,
                TimeUnit.MILLISECONDS);
    }

    synchronized void treat(HttpTargetClient.Treat treat) throws HttpProblem {
        admitEpoch(treat.place().epoch());
        if (!treat.incarnation().equals(incarnation)) {
            throw conflict("the target was restarted");
        }
        if (!tasks.containsKey(taskKey(treat.place()))) {
            // Recorded so that a start that arrives late is rejected.
            reservations.remove(taskKey(treat.place()));
            setState(treat.place(), "not-started", "");
            return;
        }
        String next =
                switch (treat.treatment()) {
                    case CHECKPOINT -> "checkpointed";
                    case THROTTLE -> "throttled";
                    case STOP -> "stopped";
                };
        String expected =
                treat.treatment() == Treatment.STOP && hasState(treat.place(), "throttled") ? "throttled" : "running";
        timer.schedule(() -> transition(treat.place(), expected, next, ""), TREATMENT_MILLIS, TimeUnit.MILLISECONDS);
    }

    synchronized void resume(TargetClient.Place place) throws HttpProblem {
        admitEpoch(place.epoch());
        if (hasState(place, "throttled")) {
            setState(place, "running", "");
            scheduleEnd(place, "");
        }
    }

    /** Drops all reservations and stops all tasks if the lease has expired. */
    synchronized void enforceLease() {
        if (nowMillis() <= leaseExpiresAtMillis) {
            return;
        }
        leaseExpiresAtMillis = Long.MAX_VALUE;
        reservations.clear();
        for (VersionedTask versionedTask : List.copyOf(tasks.values())) {
            if (versionedTask.task().state().equals("running")
                    || versionedTask.task().state().equals("throttled")) {
                TargetClient.Task task = versionedTask.task();
                setState(
                        new TargetClient.Place(epoch, task.request(), task.attempt(), task.member(), task.units()),
                        "stopped",
                        "");
            }
        }
    }

    /** Changes the state from {@code expected} to {@code next}, or does nothing if the task is in another state. */
    private synchronized void transition(TargetClient.Place place, String expected, String next, String output) {
        if (hasState(place, expected)) {
            setState(place, next, output);
        }
    }

    private boolean hasState(TargetClient.Place place, String state) {
        VersionedTask versionedTask = tasks.get(taskKey(place));
        return versionedTask != null && versionedTask.task().state().equals(state);
    }

    private void setState(TargetClient.Place place, String state, String output) {
        version++;
        TargetClient.Task task =
                new TargetClient.Task(place.request(), place.attempt(), place.member(), place.units(), state, output);
        tasks.put(taskKey(place), new VersionedTask(task, version));
        notifyAll();
    }

    /** Rejects a caller whose epoch is stale. A newer epoch is adopted and voids all reservations. */
    private void admitEpoch(long callerEpoch) throws HttpProblem {
        if (callerEpoch < epoch) {
            throw new HttpProblem(GONE, "stale-epoch", "epoch " + epoch + " rules here", "stop leading");
        }
        if (callerEpoch > epoch) {
            epoch = callerEpoch;
            reservations.clear();
        }
    }

    private int acceleratorsInUse() {
        int units = reservations.values().stream().mapToInt(Reservation::units).sum();
        for (VersionedTask versionedTask : tasks.values()) {
            units += versionedTask.task().state().equals("running")
                    ? versionedTask.task().units()
                    : 0;
        }
        return units;
    }

    private static HttpProblem conflict(String reason) {
        return new HttpProblem(CONFLICT, "refused", reason, "place it elsewhere");
    }

    private static String taskKey(TargetClient.Place place) {
        return place.request() + "/" + place.attempt() + "/" + place.member();
    }

    private static long nowMillis() {
        return System.currentTimeMillis();
    }
}
