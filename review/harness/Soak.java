import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Random faults against the node programs; arguments: repository, record, seed, seconds, faults, nodes, jobs a second. */
final class Soak {
    public static void main(String[] arguments) throws Exception {
        long seed = Long.parseLong(arguments[2]);
        int seconds = Integer.parseInt(arguments[3]);
        String faults = arguments[4];
        int nodeCount = Integer.parseInt(arguments[5]);
        double perSecond = Double.parseDouble(arguments[6]);
        Ledger ledger = new Ledger(Path.of(arguments[1]));
        Random random = new Random(seed);
        try (Cluster cluster = new Cluster(Path.of(arguments[0]), ledger, nodeCount, 18)) {
            System.out.println("dir " + cluster.directory);
            cluster.startNodes();
            if (!cluster.awaitReady(20_000)) {
                System.out.println("not ready");
                System.exit(2);
            }
            Cluster.sleep(2_000);
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            Thread.ofVirtual().start(() -> clients(cluster, new Random(seed + 1), end, perSecond));
            while (System.nanoTime() < end - 8_000_000_000L) {
                Cluster.sleep(300 + random.nextInt(2_500));
                fault(cluster, random, faults);
            }
            Thread.sleep(Math.max(0, (end - System.nanoTime()) / 1_000_000));
            finish(cluster);
            System.out.printf(
                    "seed %d starts %d done %d lapsed %d jobs %d broken %d%n",
                    seed, ledger.starts, ledger.dones, ledger.lapses, ledger.jobs().size(), ledger.broken.size());
            ledger.broken.forEach(System.out::println);
        }
        System.exit(ledger.broken.isEmpty() ? 0 : 1);
    }

    private static final AtomicInteger COUNTER = new AtomicInteger();

    static Ledger.Job randomJob(Random random) {
        String id = String.format("%08x%08x", random.nextInt(), COUNTER.incrementAndGet());
        int kind = random.nextInt(4);
        List<Ledger.Step> steps = new ArrayList<>();
        String route;
        if (kind == 0) {
            route = "preview";
            int count = 1 + random.nextInt(4);
            steps.add(new Ledger.Step(count, 3700, 5500, 1, 300 + random.nextInt(1500), List.of(), true, false, 0));
        } else if (kind == 1) {
            route = "proof";
            steps.add(new Ledger.Step(
                    1 + random.nextInt(4), 8000, 16000, 2, 1000 + random.nextInt(3000), List.of(),
                    random.nextBoolean(), random.nextBoolean(), 0));
        } else {
            route = "batch";
            steps.add(new Ledger.Step(
                    1 + random.nextInt(10), 2800, 5000, 0, 50 + random.nextInt(2500), List.of(), false,
                    random.nextBoolean(), random.nextInt(3) == 0 ? 2 : 0));
            if (random.nextBoolean()) {
                steps.add(new Ledger.Step(
                        1 + random.nextInt(5), 2800, 5000, 0, 50 + random.nextInt(1500), List.of(0), false, false, 0));
            }
        }
        return new Ledger.Job(id, route, "spec of " + id, 3, steps);
    }

    private static void clients(Cluster cluster, Random random, long end, double perSecond) {
        while (System.nanoTime() < end) {
            Ledger.Job job = randomJob(random);
            boolean cancels = random.nextInt(8) == 0;
            boolean repeats = random.nextInt(8) == 0;
            long cancelAfter = random.nextInt(3_000);
            Thread.ofVirtual().start(() -> client(cluster, job, cancels, cancelAfter, repeats));
            Cluster.sleep((long) (1000 / perSecond * (0.3 + 1.4 * random.nextDouble())));
        }
    }

    private static void client(Cluster cluster, Ledger.Job job, boolean cancels, long cancelAfter, boolean repeats) {
        if (!cluster.submit(job, 5)) {
            return;
        }
        if (repeats) {
            Cluster.sleep(cancelAfter);
            cluster.submitAgain(job);
        }
        if (cancels) {
            Cluster.sleep(cancelAfter);
            cluster.cancel(job);
        }
        for (int i = 0; i < 5; i++) {
            Cluster.sleep(1_500);
            cluster.check(job);
        }
    }

    private static void later(long millis, Runnable work) {
        Thread.ofVirtual().start(() -> {
            Cluster.sleep(millis);
            work.run();
        });
    }

    private static void fault(Cluster cluster, Random random, String faults) throws Exception {
        char kind = faults.charAt(random.nextInt(faults.length()));
        Cluster.Node leader = cluster.leader();
        Cluster.Node any = cluster.nodes.get(random.nextInt(cluster.nodes.size()));
        Cluster.Node node = leader != null && random.nextInt(3) > 0 ? leader : any;
        Worker worker = cluster.workers.get(random.nextInt(cluster.workers.size()));
        long millis = 500 + random.nextInt(7_000);
        cluster.ledger.log("fault   %s node %s worker %s for %s ms", kind, node.name, worker.id, millis);
        switch (kind) {
            case 'k' -> {
                if (node.wanted) {
                    node.kill();
                    later(300 + random.nextInt(1_500), () -> cluster.restart(node));
                }
            }
            case 't' -> {
                if (node.wanted) {
                    node.wanted = false;
                    node.signal("TERM");
                    later(100, () -> cluster.restart(node));
                }
            }
            case 'f' -> {
                if (node.wanted) {
                    node.signal("STOP");
                    later(millis, () -> node.signal("CONT"));
                }
            }
            case 's' -> {
                node.door.mode = random.nextBoolean() ? Store.Mode.SILENT : Store.Mode.BUSY;
                later(millis, () -> node.door.mode = Store.Mode.SOUND);
            }
            case 'S' -> {
                Store.Mode mode = random.nextBoolean() ? Store.Mode.SILENT : Store.Mode.RESET;
                cluster.nodes.forEach(each -> each.door.mode = mode);
                later(millis, () -> cluster.nodes.forEach(each -> each.door.mode = Store.Mode.SOUND));
            }
            case 'l' -> {
                boolean late = random.nextBoolean();
                cluster.nodes.forEach(each -> {
                    each.door.lostLate = late;
                    each.door.lostShare = 0.35;
                });
                later(millis, () -> cluster.nodes.forEach(each -> each.door.lostShare = 0));
            }
            case 'w' -> {
                worker.silent = true;
                later(millis, () -> worker.silent = false);
            }
            case 'L' -> {
                cluster.workers.forEach(each -> each.lateShare = 0.1);
                later(millis, () -> cluster.workers.forEach(each -> each.lateShare = 0));
            }
            case 'd' -> {
                cluster.workers.forEach(each -> each.delayShare = 0.3);
                later(millis, () -> cluster.workers.forEach(each -> each.delayShare = 0));
            }
            case 'r' -> {
                if (!worker.down) {
                    worker.crash();
                    later(100 + random.nextInt(2_000), worker::restart);
                }
            }
            case 'p' -> {
                int slow = 100 + random.nextInt(160);
                cluster.nodes.forEach(each -> each.door.slowMillis = slow);
                later(millis, () -> cluster.nodes.forEach(each -> each.door.slowMillis = 0));
            }
            case 'g' -> {
                worker.failShare = 0.8;
                later(millis, () -> worker.failShare = 0.01);
            }
            default -> throw new IllegalArgumentException("" + kind);
        }
    }

    private static void finish(Cluster cluster) throws Exception {
        long deadline = System.nanoTime() + 25_000_000_000L;
        List<Ledger.Job> open = new ArrayList<>(cluster.ledger.jobs());
        open.removeIf(job -> job.acceptedNanos == 0);
        while (!open.isEmpty() && System.nanoTime() < deadline) {
            open.removeIf(job -> {
                String state = cluster.check(job);
                return state != null && !state.equals("queued") && !state.equals("running");
            });
            Cluster.sleep(500);
        }
        for (Ledger.Job job : open) {
            cluster.ledger.breakRule("LOST", "%s has not ended (%s tasks done)", job.id, job.done.size());
        }
    }
}
