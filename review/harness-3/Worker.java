import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for a worker of the platform, with one proxy before it. */
final class Worker {
    static final String SERVICE = "render";
    static final String OTHER_SERVICE = "render-2";
    static final int CPU = 32_000;
    static final int MEMORY_MB = 65_536;
    static final int GPU = 8;
    private static final int HOLD_MAX_MILLIS = 6_000;
    private static final int STOP_MILLIS = 50;
    private static final int HEARTBEAT_MILLIS = 1_500;
    private static final int TICK_MILLIS = 5;
    private static final int MAX_ENDS = 500;

    final String id;
    final Proxy proxy;
    private final String address;
    private final String zone;
    private final String service;
    private final List<Object> labels;
    private final Store store;
    private final Tasks tasks;
    private final HttpServer server;
    private final long born = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private final Map<String, Tasks.Run> running = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> demands = new HashMap<>();
    private final List<Tasks.End> listed = new ArrayList<>();

    /** The highest run of each task that was stopped or has ended here. */
    private final Map<String, Integer> barred = new HashMap<>();

    private long lastEnd;
    private long fence;
    private long leaseEndMillis;
    private long sequence;
    private volatile boolean closed;

    /** When the worker exits; 0 unless it drains. */
    private volatile long departureNanos;

    Worker(String id, String host, int port, int proxyPort, String zone, String service, String kind, String rack,
            Store store, Tasks tasks) throws Exception {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.labels = List.of(kind, rack);
        this.store = store;
        this.tasks = tasks;
        address = host + ":" + proxyPort;
        server = Http.serve(host, port, this::handle);
        proxy = new Proxy(host, proxyPort, host, port);
        Thread.ofVirtual().start(this::heartbeat);
        Thread.ofVirtual().start(this::tick);
    }

    /** Reports that it drains, serves on for {@code drainMillis}, and exits; what runs then terminates. */
    void leave(int drainMillis) throws Exception {
        synchronized (tasks) {
            departureNanos = System.nanoTime() + drainMillis * 1_000_000L;
        }
        register();
        tasks.journal.line("worker %s: draining, leaves in %d ms", id, drainMillis);
        Thread.sleep(drainMillis);
        synchronized (tasks) {
            close();
            for (Tasks.Run run : new ArrayList<>(running.values())) {
                running.remove(run.task);
                tasks.ends.add(new Tasks.End(0, run.task, run.run, "lost", id, tasks.journal.seconds()));
                tasks.journal.line("worker %s: %s run %d terminates as the worker exits", id, run.task, run.run);
                tasks.afterEnd(run, "lost");
            }
        }
        store.put("keyed.servers", id, null);
        tasks.journal.line("worker %s: has left", id);
    }

    void close() throws Exception {
        closed = true;
        proxy.close();
        server.stop(0);
    }

    private long clockMillis() {
        return (System.nanoTime() - bornNanos) / 1_000_000 + 1_000;
    }

    private void heartbeat() {
        while (!closed) {
            register();
            sleep(HEARTBEAT_MILLIS);
        }
    }

    private synchronized void register() {
        if (closed) {
            return;
        }
        Map<String, Object> entry = Json.map(
                "service", service, "addr", address, "zone", zone, "version", "v1", "slots", 8,
                "state", departureNanos == 0 ? "ready" : "draining", "cold_left_ms", 0,
                "capacity", Json.map("cpu", CPU, "mem_mb", MEMORY_MB, "gpu", GPU), "labels", labels,
                "clock_ms", clockMillis(), "seq", ++sequence, "born", born);
        if (departureNanos != 0) {
            entry.put("remaining_ms", Math.max(1, (departureNanos - System.nanoTime()) / 1_000_000));
        }
        store.put("keyed.servers", id, Json.write(entry));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tick() {
        while (!closed) {
            synchronized (tasks) {
                if (clockMillis() > leaseEndMillis) {
                    listed.forEach(end -> end.lapsedSince = true);
                    new ArrayList<>(running.values()).forEach(run -> end(run, "lapsed"));
                }
                long now = System.nanoTime();
                for (Tasks.Run run : new ArrayList<>(running.values())) {
                    if (run.endNanos != 0 && run.endNanos <= now) {
                        end(run, run.ending);
                    }
                }
            }
            sleep(TICK_MILLIS);
        }
    }

    private void end(Tasks.Run run, String how) {
        running.remove(run.task);
        barred.merge(run.task, run.run, Math::max);
        Tasks.End end = new Tasks.End(++lastEnd, run.task, run.run, how, id, tasks.journal.seconds());
        listed.add(end);
        tasks.ends.add(end);
        tasks.journal.line("worker %s: %s run %d ended %s, listed as %d", id, run.task, run.run, how, lastEnd);
        tasks.afterEnd(run, how);
        tasks.notifyAll();
    }

    private void handle(HttpExchange exchange) throws Exception {
        Map<String, Object> body =
                Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        String expected = exchange.getRequestHeaders().getFirst("Acaciaport-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.answer(exchange, 421, new byte[0]);
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/run-start" -> start(exchange, body);
            case "/run-stop" -> stop(exchange, body);
            case "/hold" -> hold(exchange, body);
            default -> Http.answer(exchange, 404, new byte[0]);
        }
    }

    private static long number(Map<String, Object> body, String field) {
        return body.get(field) == null ? 0 : (Long) body.get(field);
    }

    private Map<String, Object> clock() {
        return Json.map("clock_ms", clockMillis(), "born", born);
    }

    private Map<String, Object> refusal(String reason) {
        Map<String, Object> body = clock();
        body.put("reason", reason);
        return body;
    }

    /** Returns whether the fencing token is lower than one seen before; keeps the highest. */
    private boolean isFenced(Map<String, Object> body) {
        long given = number(body, "fence");
        if (given < fence) {
            return true;
        }
        fence = given;
        return false;
    }

    private void extendLease(Map<String, Object> body) {
        if (body.get("until_ms") != null) {
            long until = Math.min(number(body, "until_ms"), clockMillis() + HOLD_MAX_MILLIS);
            leaseEndMillis = Math.max(leaseEndMillis, until);
        }
    }

    private void start(HttpExchange exchange, Map<String, Object> body) throws Exception {
        String task = (String) body.get("task");
        int run = (int) number(body, "run");
        int status = 409;
        Map<String, Object> answer;
        synchronized (tasks) {
            if (isFenced(body)) {
                answer = refusal("fence");
            } else if (number(body, "until_ms") <= clockMillis()) {
                answer = refusal("late");
            } else {
                extendLease(body);
                Tasks.Run present = running.get(task);
                if (present != null && present.run == run) {
                    status = 200;
                    answer = clock();
                } else if (run <= barred.getOrDefault(task, 0) || present != null && run < present.run) {
                    answer = refusal("old");
                } else if (present != null || !hasRoom(task)) {
                    answer = refusal("room");
                } else {
                    status = 200;
                    answer = clock();
                    Tasks.Run started = new Tasks.Run(this, task, run);
                    running.put(task, started);
                    tasks.starts.add(new Tasks.Start(tasks.journal.seconds(), task, run, id, kind()));
                    tasks.journal.line("worker %s: %s run %d started", id, task, run);
                    tasks.begin(started);
                }
            }
        }
        Http.answerJson(exchange, status, answer);
    }

    private boolean hasRoom(String task) {
        int used = tasks.acceleratorsOf(task);
        for (String each : running.keySet()) {
            used += tasks.acceleratorsOf(each);
        }
        return used <= GPU;
    }

    /** Returns how many accelerators no run uses. */
    int freeAccelerators() {
        synchronized (tasks) {
            return GPU - running.keySet().stream().mapToInt(tasks::acceleratorsOf).sum();
        }
    }

    private void stop(HttpExchange exchange, Map<String, Object> body) throws Exception {
        String task = (String) body.get("task");
        int run = (int) number(body, "run");
        int status = 409;
        Map<String, Object> answer;
        synchronized (tasks) {
            if (isFenced(body)) {
                answer = refusal("fence");
            } else {
                status = 200;
                answer = clock();
                barred.merge(task, run, Math::max);
                Tasks.Run present = running.get(task);
                if (present != null && present.run <= run) {
                    present.endNanos = Math.min(
                            present.endNanos == 0 ? Long.MAX_VALUE : present.endNanos,
                            System.nanoTime() + STOP_MILLIS * 1_000_000L);
                    present.ending = present.endNanos > System.nanoTime() ? "stopped" : present.ending;
                }
            }
        }
        tasks.journal.line("worker %s: stop of %s run %d answered %d", id, task, run, status);
        Http.answerJson(exchange, status, answer);
    }

    private void hold(HttpExchange exchange, Map<String, Object> body) throws Exception {
        long deadline = System.nanoTime() + Math.min(2_000, number(body, "wait_ms")) * 1_000_000L;
        int status = 409;
        Map<String, Object> answer;
        synchronized (tasks) {
            if (isFenced(body)) {
                answer = refusal("fence");
            } else {
                extendLease(body);
                takeNote(number(body, "acked_upto"));
                while (listed.isEmpty() && System.nanoTime() < deadline && !closed) {
                    tasks.wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
                }
                status = 200;
                answer = clock();
                List<Object> rows = new ArrayList<>();
                for (Tasks.Run run : running.values()) {
                    rows.add(List.of(run.task, run.run, "", percent(run)));
                }
                List<Object> ends = new ArrayList<>();
                for (Tasks.End end : listed.subList(0, Math.min(MAX_ENDS, listed.size()))) {
                    ends.add(List.of(end.number, end.task, end.run, end.how, ""));
                }
                answer.put("running", rows);
                answer.put("ended", ends);
            }
        }
        Http.answerJson(exchange, status, answer);
    }

    private void takeNote(long upTo) {
        for (Iterator<Tasks.End> ends = listed.iterator(); ends.hasNext(); ) {
            Tasks.End end = ends.next();
            if (end.number <= upTo) {
                end.notedSeconds = tasks.journal.seconds();
                tasks.journal.line("worker %s: end %d of %s run %d taken note of", id, end.number, end.task, end.run);
                ends.remove();
            }
        }
    }

    /** Returns the progress of a run, in percent. */
    private int percent(Tasks.Run run) {
        Tasks.Plan plan = tasks.plans.get(run.job());
        if (plan != null && plan.lasting()) {
            return 100;
        }
        long lasted = (System.nanoTime() - run.startNanos) / 1_000_000;
        return plan == null ? 0 : (int) Math.min(99, 100 * lasted / Math.max(1, plan.workMillis()));
    }

    /** Crashes: its runs end without a report, and nothing more is sent. */
    void crash() throws Exception {
        synchronized (tasks) {
            close();
            for (Tasks.Run run : new ArrayList<>(running.values())) {
                tasks.ends.add(new Tasks.End(0, run.task, run.run, "lost", id, tasks.journal.seconds()));
                tasks.journal.line("worker %s: %s run %d is lost with its worker", id, run.task, run.run);
            }
            running.clear();
        }
    }

    String kind() {
        return (String) labels.get(0);
    }

    String service() {
        return service;
    }

    String rack() {
        return (String) labels.get(1);
    }

    boolean hasLeft() {
        return closed;
    }

    /** Returns how many runs are on this worker. */
    int runCount() {
        synchronized (tasks) {
            return running.size();
        }
    }
}
