package org.acaciaport.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.acaciaport.http.HttpCall;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.HttpReply;
import org.acaciaport.http.HttpService;
import org.acaciaport.http.HttpTargetClient;
import org.acaciaport.platform.TargetClient;

/**
 * The HTTP interface of a set of stand-in targets, each under {@code /targets/ID}.
 *
 * <p>Thread-safe.
 */
final class StandinTargets implements HttpService {
    private static final int TIMER_THREADS = 2;
    private static final long LEASE_CHECK_INTERVAL_MILLIS = 100;

    private final Map<String, StandinTarget> targets = new TreeMap<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(
            TIMER_THREADS, Thread.ofPlatform().name("tasks-", 0).daemon().factory());

    StandinTargets(List<String> ids, int accelerators) {
        for (String id : ids) {
            targets.put(id, new StandinTarget(accelerators, timer));
        }
        timer.scheduleAtFixedRate(
                () -> targets.values().forEach(StandinTarget::enforceLease),
                LEASE_CHECK_INTERVAL_MILLIS,
                LEASE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** The starts at all targets, ordered by target. */
    record Starts(List<Started> starts) {}

    /** One start and the identifier of the target where it happened. */
    record Started(String target, StandinTarget.StartRecord start) {}

    @Override
    public HttpReply handle(HttpCall call) throws HttpProblem {
        if (call.matches("GET", 1, "starts")) {
            return HttpReply.ok(starts());
        }
        if (call.path().size() != 3 || !call.path().getFirst().equals("targets")) {
            throw HttpProblem.notFound("no such path", "use /targets/ID/CALL");
        }
        StandinTarget target = targets.get(call.path().get(1));
        if (target == null) {
            throw HttpProblem.notFound("no such target", "name one given at the start");
        }
        return answerTargetCall(target, call.path().get(2), call);
    }

    private HttpReply answerTargetCall(StandinTarget target, String operation, HttpCall call) throws HttpProblem {
        if (operation.equals("faults")) {
            target.faults().set(call.read(Faults.Setting.class));
            return done();
        }
        target.faults().injectBeforeEffect();
        if (operation.equals("poll")) {
            return HttpReply.ok(target.poll(call.read(HttpTargetClient.Poll.class)));
        }
        switch (operation) {
            case "reserve" -> target.reserve(call.read(HttpTargetClient.Reserve.class));
            case "release" -> target.release(call.read(TargetClient.Place.class));
            case "start" -> target.start(call.read(HttpTargetClient.Start.class));
            case "treat" -> target.treat(call.read(HttpTargetClient.Treat.class));
            case "resume" -> target.resume(call.read(TargetClient.Place.class));
            default -> throw HttpProblem.notFound("no such call", "see the target's interface");
        }
        target.faults().injectAfterEffect();
        return done();
    }

    private Starts starts() {
        List<Started> starts = new ArrayList<>();
        targets.forEach((id, target) -> target.starts().forEach(start -> starts.add(new Started(id, start))));
        return new Starts(starts);
    }

    private static HttpReply done() {
        return HttpReply.ok(new HttpTargetClient.Acknowledgement(System.currentTimeMillis()));
    }
}
