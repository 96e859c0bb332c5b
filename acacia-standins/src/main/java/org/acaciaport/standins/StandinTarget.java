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
import org.acaciaport.http.HttpTargets;
import org.acaciaport.platform.TargetClient;

/**
 * A stand-in for one target. A payload may hold {@code run-millis=N} and {@code fail}.
 *
 * <p>Safe for use by several threads. Refuses older epochs, passed deadlines, other incarnations and work beyond its
 * accelerators; ends all work when its lease lapses.
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
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Hold> holds = new HashMap<>();
    private final List<StartRecord> starts = new ArrayList<>();
    private long epoch;
    private long version = 1;
    private long leaseUntil = Long.MAX_VALUE;

    StandinTarget(int accelerators, ScheduledExecutorService timer) {
        this.accelerators = accelerators;
        this.timer = timer;
    }

    /**
     * One start, for the target's own record.
     *
     * @param request identifier of the request
     * @param profile its profile
     * @param attempt number of the attempt
     * @param member index of the member
     * @param at when, in milliseconds of the wall clock
     */
    record StartRecord(String request, String profile, long attempt, int member, long at) {}

    /** Places held until a deadline. */
    private record Hold(int units, long until) {}

    /** A task and the version at which it last changed. */
    private record Task(TargetClient.Task report, long version) {}

    Faults faults() {
        return faults;
    }

    synchronized List<StartRecord> starts() {
        return List.copyOf(starts);
    }

    synchronized TargetClient.Report poll(HttpTargets.Poll poll) throws HttpProblem {
        rule(poll.epoch());
        long leaseStart = now();
        leaseUntil = leaseStart + poll.leaseMillis();
        long deadline = leaseStart + poll.waitMillis();
        while (version <= poll.since() && now() < deadline) {
            try {
                wait(Math.max(1, deadline - now()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        rule(poll.epoch());
        List<TargetClient.Task> changed = new ArrayList<>();
        for (Task task : tasks.values()) {
            if (task.version() > poll.since()) {
                changed.add(task.report());
            }
        }
        return new TargetClient.Report(incarnation, now(), version, changed);
    }

    synchronized void reserve(HttpTargets.Reserve reserve) throws HttpProblem {
        TargetClient.Place place = reserve.place();
        rule(place.epoch());
        holds.values().removeIf(hold -> hold.until() < now());
        if (tasks.containsKey(key(place))) {
            throw conflict("the place was given up");
        }
        if (!holds.containsKey(key(place)) && inUse() + place.units() > accelerators) {
            throw conflict("accelerators are in use");
        }
        holds.put(key(place), new Hold(place.units(), now() + reserve.holdMillis()));
    }

    synchronized void release(TargetClient.Place place) throws HttpProblem {
        rule(place.epoch());
        holds.remove(key(place));
        if (!tasks.containsKey(key(place))) {
            put(place, "not-started", "");
        }
    }

    synchronized void start(HttpTargets.Start start) throws HttpProblem {
        TargetClient.Place place = start.place();
        rule(place.epoch());
        if (!start.incarnation().equals(incarnation)) {
            throw conflict("the target was restarted");
        }
        if (is(place, "not-started")) {
            throw conflict("the task was stopped before its start");
        }
        if (tasks.containsKey(key(place))) {
            return;
        }
        if (now() >= start.startBefore()) {
            throw new HttpProblem(PRECONDITION_FAILED, "expired", "the start deadline has passed", "place it again");
        }
        Hold hold = holds.remove(key(place));
        if (hold == null && inUse() + place.units() > accelerators) {
            throw conflict("accelerators are in use");
        }
        starts.add(new StartRecord(place.request(), start.work().profile(), place.attempt(), place.member(), now()));
        put(place, "running", "");
        run(place, start.work().payload());
    }

    private void run(TargetClient.Place place, String payload) {
        Matcher matcher = RUN_MILLIS.matcher(payload);
        long millis = matcher.find() ? Long.parseLong(matcher.group(1)) : DEFAULT_RUN_MILLIS;
        boolean fails = faults.failsAll() || payload.contains("fail");
        timer.schedule(
                () -> end(place, "running", fails ? "failed" : "ended", fails ? "task failed" : "output of " + payload),
                millis,
                TimeUnit.MILLISECONDS);
    }

    synchronized void treat(HttpTargets.Treat treat) throws HttpProblem {
        rule(treat.place().epoch());
        if (!treat.incarnation().equals(incarnation)) {
            throw conflict("the target was restarted");
        }
        if (!tasks.containsKey(key(treat.place()))) {
            holds.remove(key(treat.place()));
            put(treat.place(), "not-started", "");
            return;
        }
        String state =
                switch (treat.treatment()) {
                    case CHECKPOINT -> "checkpointed";
                    case THROTTLE -> "throttled";
                    case STOP -> "stopped";
                };
        String from = treat.treatment() == Treatment.STOP && is(treat.place(), "throttled") ? "throttled" : "running";
        timer.schedule(() -> end(treat.place(), from, state, ""), TREATMENT_MILLIS, TimeUnit.MILLISECONDS);
    }

    synchronized void resume(TargetClient.Place place) throws HttpProblem {
        rule(place.epoch());
        if (is(place, "throttled")) {
            put(place, "running", "");
            run(place, "");
        }
    }

    /** Ends everything if the lease has lapsed. */
    synchronized void checkLease() {
        if (now() <= leaseUntil) {
            return;
        }
        leaseUntil = Long.MAX_VALUE;
        holds.clear();
        for (Task task : List.copyOf(tasks.values())) {
            if (task.report().state().equals("running") || task.report().state().equals("throttled")) {
                TargetClient.Task report = task.report();
                put(
                        new TargetClient.Place(
                                epoch, report.request(), report.attempt(), report.member(), report.units()),
                        "stopped",
                        "");
            }
        }
    }

    private synchronized void end(TargetClient.Place place, String from, String state, String output) {
        if (is(place, from)) {
            put(place, state, output);
        }
    }

    private boolean is(TargetClient.Place place, String state) {
        Task task = tasks.get(key(place));
        return task != null && task.report().state().equals(state);
    }

    private void put(TargetClient.Place place, String state, String output) {
        version++;
        TargetClient.Task report =
                new TargetClient.Task(place.request(), place.attempt(), place.member(), place.units(), state, output);
        tasks.put(key(place), new Task(report, version));
        notifyAll();
    }

    private void rule(long caller) throws HttpProblem {
        if (caller < epoch) {
            throw new HttpProblem(GONE, "stale-epoch", "epoch " + epoch + " rules here", "stop leading");
        }
        if (caller > epoch) {
            epoch = caller;
            holds.clear();
        }
    }

    private int inUse() {
        int units = holds.values().stream().mapToInt(Hold::units).sum();
        for (Task task : tasks.values()) {
            units += task.report().state().equals("running") ? task.report().units() : 0;
        }
        return units;
    }

    private static HttpProblem conflict(String reason) {
        return new HttpProblem(CONFLICT, "refused", reason, "place it elsewhere");
    }

    private static String key(TargetClient.Place place) {
        return place.request() + "/" + place.attempt() + "/" + place.member();
    }

    private static long now() {
        return System.currentTimeMillis();
    }
}
