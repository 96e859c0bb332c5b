package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.wire.WireServer;
import org.jboss.logging.Logger;

/**
 * Everything that runs on one VM, but for the programs' interfaces to the outside.
 *
 * <p>Safe for use by several threads once started.
 */
public final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class);

    /** How long a read of the jobs waits for news, in milliseconds. */
    private static final long JOBS_WAIT_MILLIS = 400;

    /** Pause between two reads of the jobs on a node that does not lead, in milliseconds. */
    private static final long JOBS_PAUSE_MILLIS = 100;

    /** How long a read of the operators' publications waits for news, in milliseconds. */
    private static final long OPERATORS_WAIT_MILLIS = 1_000;

    private static final long RESIGN_MILLIS = 1_000;
    private static final long ANNOUNCE_PAUSE_MILLIS = 300;

    private final Settings settings;
    private final FailoverLog log;
    private final Replica replica = new Replica();
    private final TopicConsumer jobs;
    private final TopicConsumer operatorFollower;
    private final LeaderElection leadership;
    private final JobService jobService;
    private WireServer server;

    /**
     * What a node is told at its start.
     *
     * @param name its name
     * @param wire address of its wire protocol
     * @param seeds addresses of other nodes, which may be stale
     * @param topics names of topics
     * @param configurationMaxAgeMillis age up to which the operators' publications count as current, in milliseconds
     */
    public record Settings(
            String name,
            InetSocketAddress wire,
            Supplier<List<String>> seeds,
            Topics topics,
            long configurationMaxAgeMillis) {}

    /**
     * How a node reaches the outside.
     *
     * @param log the shared log
     * @param calls orders to targets
     * @param operators decodes what operators publish
     * @param targets decodes registrations of targets
     */
    public record Ports(KeyedLog log, TargetCalls calls, OperatorCodec operators, TargetCodec targets) {}

    /** Creates a node; {@link #start} starts it. */
    public Node(Settings settings, Ports ports, MetricRegistry metrics) {
        this.settings = settings;
        log = new FailoverLog(ports.log(), new Peers(address(settings.wire()), this::others));
        ConfigurationView operators = new ConfigurationView(ports.operators());
        Term.Dependencies dependencies =
                new Term.Dependencies(replica, operators, ports.calls(), settings.topics(), log, ports.targets());
        jobs = new TopicConsumer(
                settings.topics().jobs(),
                log,
                new TopicConsumer.PollSettings(JOBS_WAIT_MILLIS, JOBS_PAUSE_MILLIS),
                replica);
        TopicConsumer.PollSettings operatorPace = new TopicConsumer.PollSettings(OPERATORS_WAIT_MILLIS, 0);
        operatorFollower = new TopicConsumer(settings.topics().operators(), log, operatorPace, operators);
        SplittableRandom random = new SplittableRandom(System.nanoTime());
        LeaderRecord self = new LeaderRecord(settings.name(), System.currentTimeMillis(), false);
        leadership = new LeaderElection(self, dependencies, jobs, random);
        jobService = new JobService(dependencies, jobs, settings.configurationMaxAgeMillis(), metrics);
    }

    private static String address(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private List<String> others() {
        List<String> addresses = new ArrayList<>();
        replica.nodes().forEach(node -> addresses.add(node.address()));
        addresses.addAll(settings.seeds().get());
        return addresses;
    }

    /**
     * Starts following and, if nobody else does, leading.
     *
     * @throws IOException if the wire address cannot be bound
     */
    public void start() throws IOException {
        server = WireServer.start(settings.wire(), log);
        operatorFollower.start();
        jobs.start();
        leadership.start();
        Thread.ofVirtual().name("announce").start(this::announce);
    }

    /** Tells the other nodes where this one is. */
    private void announce() {
        NodeRecord record = new NodeRecord(settings.name(), address(settings.wire()));
        Append append = new Append(settings.topics().jobs(), List.of(JobRecords.node(record)), new Append.Always());
        while (!(log.append(append, Clocks.in(RESIGN_MILLIS)) instanceof AppendOutcome.Appended)) {
            if (!Clocks.sleep(ANNOUNCE_PAUSE_MILLIS)) {
                return;
            }
        }
        LOG.infof("announce: node=%s address=%s", record.name(), record.address());
    }

    /**
     * Encodes and decodes the product's own records once, for a build that archives classes.
     *
     * @throws IOException if they do not survive it
     */
    public static void warmUp() throws IOException {
        JobRecords.warmUp();
    }

    /** Returns what answers callers. */
    public JobService jobService() {
        return jobService;
    }

    /** Hands the lead over, if it is here. Callers are still answered. */
    public void resign() {
        leadership.stop(RESIGN_MILLIS);
    }

    /** Stops everything. */
    public void stop() throws IOException {
        jobs.stop();
        operatorFollower.stop();
        server.close();
    }
}
