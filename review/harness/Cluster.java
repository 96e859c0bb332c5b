import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback addresses: the project's node programs, and stand-ins of everything around them. */
final class Cluster implements AutoCloseable {
    static final String[] ZONES = {"z1", "z2", "z3"};
    static final int WORKERS_PER_RACK = 8;
    static final String HOST = "plaques.example";
    static final String[] KEYS = {"key-a-1", "key-b-1"};

    /** One node program. */
    final class Node {
        final int number;
        final String name;
        final String ip;
        final Store.Door door = new Store.Door();
        final Http.Server storeServer;
        final Path settings;
        Process process;
        int ownEnds;
        volatile boolean wanted;

        Node(int number) throws IOException {
            this.number = number;
            name = "edge-" + number;
            ip = base + (10 + number);
            storeServer = new Http.Server(base + 1, 0, store.door(door));
            settings = directory.resolve(name + ".json");
        }

        void writeSettings() throws IOException {
            ObjectNode root = Store.MAPPER.createObjectNode();
            root.put("node_name", name).put("role", "node").put("machine_class", "edge").put("ip", ip);
            root.put("zone", ZONES[number % ZONES.length]).put("region", "r").put("bootstrap", true);
            root.putObject("listen")
                    .put("front", ip + ":8521")
                    .put("ready", ip + ":8523")
                    .put("control", ip + ":8526");
            ArrayNode seeds = root.putArray("seeds");
            for (int i = 0; i < Math.min(3, nodeCount); i++) {
                seeds.add(base + (10 + i) + ":8526");
            }
            root.putObject("limits").put("cpu_quota", 0.75).put("cores", 1).put("link_mbps", 1000.0);
            root.putObject("bounds").put("revoke_ms", 5000).put("grace_s", 6);
            root.putObject("platform").put("addr", base + 1 + ":" + storeServer.port());
            Files.write(settings, Store.MAPPER.writeValueAsBytes(root));
        }

        void start() throws IOException {
            writeSettings();
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.directory(repository.toFile());
            Map<String, String> environment = builder.environment();
            String path = environment.getOrDefault("PATH", "/usr/bin:/bin");
            environment.clear();
            environment.put("PATH", path);
            environment.put("ACACIAPORT_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    directory.resolve(name + ".log").toFile()));
            process = builder.start();
            wanted = true;
            ledger.log("node    %s started pid %s", name, process.pid());
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        void signal(String signal) {
            try {
                ledger.log("node    %s gets %s", name, signal);
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                        .start()
                        .waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        void kill() throws InterruptedException {
            ledger.log("node    %s killed", name);
            wanted = false;
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }

        boolean isReady() {
            return isAlive() && Http.call(ip, 8523, "GET", "/ready", Map.of(), new byte[0], 300).status() == 200;
        }
    }

    final Ledger ledger;
    final Store store;
    final Path directory;
    final Path repository;
    final String base;
    final int nodeCount;
    final List<Node> nodes = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    private final List<String> command;
    private volatile boolean closed;
    long configVersion;
    private final List<String> keys = new ArrayList<>(Arrays.asList(KEYS));

    /** Members present of each run of each gang. */
    private final Map<String, List<Object[]>> gangs = new HashMap<>();

    Cluster(Path repository, Ledger ledger, int nodeCount, int workerCount) throws Exception {
        this.repository = repository;
        this.ledger = ledger;
        store = new Store(ledger, 20_000);
        this.nodeCount = nodeCount;
        directory = Files.createTempDirectory("acaciaport-review");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        base = "127." + random.nextInt(2, 250) + "." + random.nextInt(2, 250) + ".";
        command = runCommand(repository);
        publish();
        for (int i = 0; i < workerCount; i++) {
            Worker worker = new Worker(this, "i-" + i, base + 2, ZONES[i % 3], "r-" + i / WORKERS_PER_RACK);
            workers.add(worker);
            worker.register();
        }
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node(i));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
        Thread.ofPlatform().daemon().start(this::beat);
        Thread.ofPlatform().daemon().start(this::tick);
    }

    private static List<String> runCommand(Path repository) throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    /** Publishes the configuration under a new version. */
    void publish() throws IOException {
        ObjectNode root = Store.MAPPER.createObjectNode();
        configVersion += 3;
        root.put("version", configVersion);
        ArrayNode routes = root.putArray("routes");
        String[][] specs = {{"preview", "0"}, {"proof", "1"}, {"batch", "2"}};
        for (String[] spec : specs) {
            routes.addObject()
                    .put("name", spec[0])
                    .put("host", HOST)
                    .put("prefix", "/" + spec[0] + "/")
                    .put("type", "non_idempotent")
                    .put("timeout_ms", 3000)
                    .put("slo_ms", 1000)
                    .put("priority", Integer.parseInt(spec[1]))
                    .put("service", "render")
                    .put("attempts", 3)
                    .put("stretch", 3.0)
                    .put("public", false);
        }
        root.putArray("services")
                .addObject()
                .put("name", "render")
                .put("health_path", "/healthz")
                .put("rejects_overload", true)
                .put("spare", false);
        ArrayNode tenants = root.putArray("tenants");
        tenants.addObject().put("name", "ta").put("priority", 1).putObject("guaranteed").put("gpu", 48);
        tenants.addObject().put("name", "tb").put("priority", 1).putObject("guaranteed").put("gpu", 48);
        ((ObjectNode) tenants.get(0)).putArray("api_keys").add(keys.get(0));
        ((ObjectNode) tenants.get(1)).putArray("api_keys").add(keys.get(1));
        store.put("keyed.op", "config", Store.MAPPER.writeValueAsBytes(root));
    }

    private void beat() {
        while (!closed) {
            workers.forEach(Worker::register);
            sleep(1_500);
        }
    }

    private void tick() {
        while (!closed) {
            workers.forEach(Worker::tick);
            sleep(10);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String gangKey(Worker.Run run) {
        return run.task.substring(0, run.task.lastIndexOf('.')) + "/" + run.run;
    }

    /** A member of a gang is present; all work from the moment when the last one is. */
    void gangPresent(Worker worker, Worker.Run run) {
        synchronized (gangs) {
            List<Object[]> members = gangs.computeIfAbsent(gangKey(run), k -> new ArrayList<>());
            members.add(new Object[] {worker, run});
            if (members.size() == run.step.count()) {
                for (Object[] member : members) {
                    Worker.Run each = (Worker.Run) member[1];
                    each.lastNanos = System.nanoTime();
                    each.working = true;
                }
            }
        }
    }

    /** A member of a gang has ended, and so have the others. */
    void gangEnded(Worker.Run run, String how) {
        List<Object[]> members;
        synchronized (gangs) {
            members = gangs.remove(gangKey(run));
        }
        if (members == null) {
            return;
        }
        String others = how.equals("done") ? "done" : "broken";
        Thread.ofVirtual().start(() -> {
            for (Object[] member : members) {
                if (member[1] != run) {
                    ((Worker) member[0]).endMember((Worker.Run) member[1], others);
                }
            }
        });
    }

    void startNodes() throws IOException {
        for (Node node : nodes) {
            node.start();
        }
    }

    boolean awaitReady(long millis) {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < deadline) {
            if (nodes.stream().allMatch(Node::isReady)) {
                return true;
            }
            sleep(50);
        }
        return false;
    }

    /** Name of the node that last claimed leadership as its log says, or null. */
    Node leader() throws IOException {
        Node found = null;
        String latest = "";
        for (Node node : nodes) {
            if (!node.isAlive()) {
                continue;
            }
            for (String line : Files.readAllLines(directory.resolve(node.name + ".log"))) {
                if (line.contains("outcome=leading")) {
                    int at = line.indexOf("epoch=");
                    String epoch = line.substring(at + 6).split(" ")[0];
                    String padded = String.format("%12s", epoch);
                    if (padded.compareTo(latest) > 0) {
                        latest = padded;
                        found = node;
                    }
                }
            }
        }
        return found;
    }

    static String body(Ledger.Job job) {
        ObjectNode root = Store.MAPPER.createObjectNode();
        root.put("spec", job.spec);
        ArrayNode steps = root.putArray("steps");
        for (Ledger.Step step : job.steps) {
            ObjectNode each = steps.addObject();
            each.put("count", step.count()).put("cpu", step.cpu()).put("mem_mb", step.mem()).put("est_ms", step.millis());
            if (step.gpu() > 0) {
                each.put("gpu", step.gpu());
            }
            if (!step.after().isEmpty()) {
                ArrayNode after = each.putArray("after");
                step.after().forEach(after::add);
            }
            if (job.lasting) {
                each.put("long_running", true);
            }
            if (!job.requires.isEmpty()) {
                each.put("requires", job.requires);
            }
            if (step.gang()) {
                each.put("gang", true);
            }
            if (step.checkpoint()) {
                each.put("checkpoint", true);
            }
            if (step.spread() > 0) {
                each.put("anti_affinity", step.spread());
            }
        }
        return root.toString();
    }

    static Map<String, String> headers(String key) {
        return Map.of("Host", HOST, "Content-Type", "application/json", "Api-Key", key, "Acaciaport-Deadline-Ms", "3000");
    }

    Http.Answer call(Node node, String method, Ledger.Job job, String body) {
        String path = "/" + job.route + "/" + job.id;
        Http.Answer answer =
                Http.call(node.ip, 8521, method, path, headers(KEYS[job.id.charAt(15) % 2]), body.getBytes(), 3_000);
        ledger.log("call    %s %s at %s: %s %s %s", method, job.id, node.name, answer.status(), answer.body(), answer.problem());
        return answer;
    }

    /** Hands a job in at nodes in turn until one accepts it; returns whether one did. */
    boolean submit(Ledger.Job job, int attempts) {
        String body = body(job);
        ledger.add(job);
        int first = ThreadLocalRandom.current().nextInt(nodes.size());
        for (int i = 0; i < attempts; i++) {
            Node node = nodes.get((first + i) % nodes.size());
            Http.Answer answer = call(node, "POST", job, body);
            if (answer.status() / 100 == 2) {
                synchronized (ledger) {
                    job.acceptedNanos = System.nanoTime();
                    job.rejectedOnly = false;
                }
                return true;
            }
            if (answer.status() != 429 && answer.status() != 503) {
                job.rejectedOnly = false;
            }
            sleep(200 + ThreadLocalRandom.current().nextInt(300));
        }
        return false;
    }

    /** Reads the state of a job; null if there was no usable answer. */
    String state(Node node, Ledger.Job job) {
        Http.Answer answer = call(node, "GET", job, "");
        if (answer.status() == 410) {
            return "410";
        }
        if (answer.status() != 200) {
            return null;
        }
        try {
            JsonNode root = Store.MAPPER.readTree(answer.body());
            return root.path("state").asText();
        } catch (IOException e) {
            return null;
        }
    }

    /** Sends a job again that was accepted. */
    void submitAgain(Ledger.Job job) {
        call(nodes.get(ThreadLocalRandom.current().nextInt(nodes.size())), "POST", job, body(job));
    }

    /** Cancels a job at nodes in turn until one acknowledges that. */
    void cancel(Ledger.Job job) {
        job.cancelSentNanos = System.nanoTime();
        for (int i = 0; i < 8; i++) {
            Node node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
            Http.Answer answer = call(node, "DELETE", job, "");
            if (answer.status() / 100 == 2) {
                job.cancelAckNanos = System.nanoTime();
                return;
            }
            if (answer.status() == 410) {
                ledger.breakRule("LOST", "cancel of the accepted job %s at %s is answered 410", job.id, node.name);
                return;
            }
            sleep(300);
        }
    }

    /** Reads the state of an accepted job at some node and compares it with what has run. */
    String check(Ledger.Job job) {
        Node node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
        String state = state(node, job);
        if (state == null) {
            return null;
        }
        switch (state) {
            case "410" -> ledger.breakRule("LOST", "%s is answered 410 at %s", job.id, node.name);
            case "failed" -> {
                if (!job.taskFailed && job.cancelSentNanos == 0) {
                    ledger.breakRule("LOST", "%s is shown as failed without cause at %s", job.id, node.name);
                }
            }
            case "cancelled" -> {
                if (job.cancelSentNanos == 0) {
                    ledger.breakRule("LOST", "%s is shown as cancelled without cause at %s", job.id, node.name);
                }
            }
            case "done" -> {
                job.shownDone = true;
                if (!job.allDone()) {
                    ledger.breakRule("MIXED", "%s is shown as done at %s with %s tasks done", job.id, node.name, job.done.size());
                }
            }
            default -> {
                if (job.shownDone) {
                    ledger.log("note    %s was done and is now %s at %s", job.id, state, node.name);
                    System.out.println(job.id + " was done and is now " + state);
                }
            }
        }
        return state;
    }

    /** Ends all node programs that this program started. */
    private void killNodes() {
        closed = true;
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
    }

    /** Starts a node again once its process has ended. */
    void restart(Node node) {
        try {
            if (node.process != null && !node.process.waitFor(10, TimeUnit.SECONDS)) {
                ledger.breakRule("FAULT", "%s does not end", node.name);
                node.process.destroyForcibly().waitFor();
            }
            if (!closed) {
                node.start();
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws Exception {
        closed = true;
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
            node.storeServer.close();
        }
        for (Worker worker : workers) {
            worker.close();
        }
        Case.delete(directory);
    }
}
