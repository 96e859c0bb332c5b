import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A stand-in of a worker, with leases, fences and ends as the platform's pages say. */
final class Worker {
    static final int LEASE_MILLIS = 6_000;
    static final int GANG_MILLIS = 3_000;

    /** One run of a task. */
    static final class Run {
        final String task;
        final int run;
        final Ledger.Step step;
        final long presentNanos = System.nanoTime();
        long workNanos;
        long lastNanos = System.nanoTime();
        boolean working;
        boolean fails;
        boolean lasts;
        String saved;

        Run(String task, int run, Ledger.Step step, String saved) {
            this.task = task;
            this.run = run;
            this.step = step;
            this.saved = saved;
        }

        int percent() {
            return (int) Math.min(100, workNanos / 10_000 / Math.max(1, step.millis()));
        }
    }

    private record End(long number, String task, int run, String how, String saved, long nanos) {}

    final String id;
    final String zone;
    final String rack;
    private final Cluster cluster;
    private final Ledger ledger;
    private final Http.Server server;
    final String ip;
    final int port;
    long born = System.currentTimeMillis();
    private long bootNanos = System.nanoTime() - 1_000_000_000L;
    private long highestFence;
    private long leaseEndMillis;
    private long lastLapseNanos;
    private long nextNumber = 1;
    private final Map<String, Run> running = new HashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long sequence;

    /** Whether answers are lost and the calls carried out late, by the share of calls. */
    volatile double lateShare;

    /** Share of calls that are carried out or answered up to 700 ms later. */
    volatile double delayShare;

    volatile boolean silent;
    volatile boolean down;

    /** Least time that is left when the worker drains; 0 if it does not. */
    private volatile long remainingMillis;

    volatile double failShare = 0.01;
    volatile double slow = 1;

    /** Capacity of every worker. */
    static long cpu = 32_000;

    static long memory = 65_536;

    Worker(Cluster cluster, String id, String ip, String zone, String rack) throws IOException {
        this.cluster = cluster;
        this.ledger = cluster.ledger;
        this.id = id;
        this.ip = ip;
        this.zone = zone;
        this.rack = rack;
        server = new Http.Server(ip, 0, this::answer);
        port = server.port();
    }

    long clockMillis() {
        return (System.nanoTime() - bootNanos) / 1_000_000;
    }

    /** Says that this worker leaves in {@code millis}. */
    void drain(long millis) {
        remainingMillis = millis;
        register();
    }

    /** Leaves for good: the process is gone and so is its entry. */
    void leave() {
        crash();
        cluster.store.put("keyed.servers", id, new byte[0]);
    }

    void register() {
        if (down) {
            return;
        }
        ObjectNode entry = Store.MAPPER.createObjectNode();
        entry.put("service", "render").put("addr", ip + ":" + port).put("zone", zone).put("version", "v1");
        entry.put("slots", 8).put("cold_left_ms", 0);
        entry.put("state", remainingMillis == 0 ? "ready" : "draining");
        if (remainingMillis > 0) {
            entry.put("remaining_ms", remainingMillis);
        }
        entry.putObject("capacity").put("cpu", cpu).put("mem_mb", memory).put("gpu", 8);
        entry.putArray("labels").add("a").add(rack);
        entry.put("clock_ms", clockMillis()).put("seq", ++sequence).put("born", born);
        cluster.store.put("keyed.servers", id, Store.MAPPER.valueToTree(entry).toString().getBytes());
    }

    /** Crashes; starts again under the same id with {@link #restart}. */
    synchronized void crash() {
        down = true;
        ledger.crashed(id);
        List<Run> lost = new ArrayList<>(running.values());
        running.clear();
        lost.stream().filter(run -> run.step.gang()).forEach(run -> cluster.gangEnded(run, "crashed"));
        ends.clear();
        highestEnded.clear();
        highestFence = 0;
        leaseEndMillis = 0;
        nextNumber = 1;
        notifyAll();
    }

    synchronized void restart() {
        born = System.currentTimeMillis();
        bootNanos = System.nanoTime() - 1_000_000_000L;
        sequence = 0;
        down = false;
        register();
    }

    private Http.Reply answer(Http.Request request) throws Exception {
        if (down) {
            return Http.RESET;
        }
        if (silent) {
            return null;
        }
        String expected = request.headers().get("acaciaport-expect-instance");
        if (expected != null && !expected.equals(id)) {
            return Http.Reply.json(421, "{}");
        }
        if (ThreadLocalRandom.current().nextDouble() < lateShare) {
            long lateLife = born;
            Thread.ofVirtual().start(() -> {
                try {
                    Thread.sleep(2_000 + ThreadLocalRandom.current().nextInt(10_000));
                    if (!down && born == lateLife) {
                        dispatch(request);
                    }
                } catch (Exception e) {
                    // The late call fails.
                }
            });
            return null;
        }
        long life = born;
        boolean delayed = ThreadLocalRandom.current().nextDouble() < delayShare;
        if (delayed && ThreadLocalRandom.current().nextBoolean()) {
            Thread.sleep(ThreadLocalRandom.current().nextInt(700));
        }
        if (down || born != life) {
            return Http.RESET;
        }
        Http.Reply reply = dispatch(request);
        if (delayed) {
            Thread.sleep(ThreadLocalRandom.current().nextInt(700));
        }

        return silent ? null : down ? Http.RESET : reply;
    }

    private Http.Reply dispatch(Http.Request request) throws Exception {
        JsonNode body = Store.MAPPER.readTree(request.body());
        return switch (request.path()) {
            case "/run-start" -> start(body);
            case "/run-stop" -> stop(body);
            case "/hold" -> hold(body);
            default -> Http.Reply.json(404, "{}");
        };
    }

    private Http.Reply refuse(String reason) {
        return Http.Reply.json(409, "{\"clock_ms\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}");
    }

    private Http.Reply done() {
        return Http.Reply.json(200, "{\"clock_ms\":" + clockMillis() + "}");
    }

    private static String key(String task, int run) {
        return task + "/" + run;
    }

    private boolean isFenced(JsonNode body) {
        long fence = body.path("fence").asLong(0);
        if (fence < highestFence) {
            return true;
        }
        highestFence = fence;
        return false;
    }

    private void extendLease(JsonNode body) {
        if (body.has("until_ms")) {
            long until = Math.min(body.get("until_ms").asLong(), clockMillis() + LEASE_MILLIS);
            leaseEndMillis = Math.max(leaseEndMillis, until);
        }
    }

    private synchronized Http.Reply start(JsonNode body) {
        if (isFenced(body)) {
            return refuse("fence");
        }
        tick();
        String task = body.get("task").asText();
        int run = body.get("run").asInt();
        boolean late = body.get("until_ms").asLong() <= clockMillis();
        extendLease(body);
        if (running.containsKey(key(task, run))) {
            return done();
        }
        boolean higher = running.values().stream().anyMatch(other -> other.task.equals(task) && other.run > run);
        if (highestEnded.getOrDefault(task, 0) >= run || higher) {
            return refuse("old");
        }
        if (late) {
            return refuse("late");
        }
        Ledger.Job job = ledger.job(Ledger.jobOf(task));
        Ledger.Step step = job == null ? null : job.steps.get(Ledger.stepOf(task));
        if (step == null) {
            ledger.started(id, task, run, body.path("spec").asText());
            return Http.Reply.json(400, "{}");
        }
        long usedCpu = step.cpu();
        long usedMemory = step.mem();
        long usedGpu = step.gpu();
        for (Run other : running.values()) {
            usedCpu += other.step.cpu();
            usedMemory += other.step.mem();
            usedGpu += other.step.gpu();
        }
        if (usedCpu > cpu || usedMemory > memory || usedGpu > 8) {
            return refuse("room");
        }
        Run started = new Run(task, run, step, body.path("saved").asText(""));
        started.fails = ThreadLocalRandom.current().nextDouble() < failShare || job.failsOnce;
        started.lasts = job.lasting;
        job.failsOnce = false;
        if (!started.saved.isEmpty()) {
            started.workNanos = Long.parseLong(started.saved, 16);
        }
        running.put(key(task, run), started);
        ledger.started(id, task, run, body.path("spec").asText());
        if (step.gang()) {
            cluster.gangPresent(this, started);
        }
        return done();
    }

    private synchronized Http.Reply stop(JsonNode body) {
        if (isFenced(body)) {
            return refuse("fence");
        }
        tick();
        String task = body.get("task").asText();
        int run = body.get("run").asInt();
        for (Run present : new ArrayList<>(running.values())) {
            if (present.task.equals(task) && present.run <= run) {
                end(present, "stopped");
            }
        }
        highestEnded.merge(task, run, Math::max);
        return done();
    }

    private synchronized Http.Reply hold(JsonNode body) throws InterruptedException {
        if (isFenced(body)) {
            return refuse("fence");
        }
        tick();
        extendLease(body);
        long acknowledged = body.path("acked_upto").asLong(0);
        for (Iterator<End> i = ends.iterator(); i.hasNext(); ) {
            End end = i.next();
            if (end.number() <= acknowledged) {
                i.remove();
                if (lastLapseNanos < end.nanos() || end.how().equals("lapsed")) {
                    ledger.noted(id, end.task(), end.run(), end.how());
                }
            }
        }
        long deadline = System.nanoTime() + body.path("wait_ms").asLong(0) * 1_000_000;
        while (ends.isEmpty() && System.nanoTime() < deadline && !down) {
            wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
        }
        ObjectNode answer = Store.MAPPER.createObjectNode();
        answer.put("clock_ms", clockMillis()).put("born", born);
        ArrayNode runs = answer.putArray("running");
        for (Run run : running.values()) {
            runs.addArray().add(run.task).add(run.run).add(run.saved).add(run.percent()).add(100);
        }
        ArrayNode listed = answer.putArray("ended");
        for (End end : ends.subList(0, Math.min(500, ends.size()))) {
            listed.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add(end.saved());
        }
        return Http.Reply.json(200, answer.toString());
    }

    /** Ends a run; the caller holds the lock. */
    private void end(Run run, String how) {
        if (!running.remove(key(run.task, run.run), run)) {
            return;
        }
        highestEnded.merge(run.task, run.run, Math::max);
        String saved = run.step.checkpoint() ? Long.toString(run.workNanos, 16) : "";
        ends.add(new End(nextNumber++, run.task, run.run, how, saved, System.nanoTime()));
        ledger.ended(id, run.task, run.run, how);
        notifyAll();
        if (run.step.gang()) {
            cluster.gangEnded(run, how);
        }
    }

    /** Ends a gang member because another one has ended. */
    synchronized void endMember(Run run, String how) {
        end(run, how);
    }

    /** Share of the processors in use. */
    synchronized double usage() {
        return (double) running.values().stream().mapToLong(run -> run.step.cpu()).sum() / cpu;
    }

    synchronized int runningCount() {
        return running.size();
    }

    /** Advances the runs to now. */
    synchronized void tick() {
        long now = System.nanoTime();
        if (clockMillis() >= leaseEndMillis) {
            lastLapseNanos = now;
        }
        if (!running.isEmpty() && clockMillis() >= leaseEndMillis) {
            new ArrayList<>(running.values()).forEach(run -> end(run, "lapsed"));
            return;
        }
        for (Run run : new ArrayList<>(running.values())) {
            boolean works = !run.step.gang() || run.working;
            if (works) {
                run.workNanos += (long) ((now - run.lastNanos) / slow);
                if (run.step.checkpoint()) {
                    run.saved = Long.toString(run.workNanos, 16);
                }
            } else if (now - run.presentNanos > GANG_MILLIS * 1_000_000L) {
                end(run, "alone");
                continue;
            }
            run.lastNanos = now;
            long needed = run.step.millis() * 1_000_000L;
            if (run.fails && run.workNanos > needed / 3) {
                end(run, "failed");
            } else if (run.workNanos >= needed && !run.lasts) {
                end(run, "done");
            }
        }
    }

    void close() throws IOException {
        server.close();
    }
}
