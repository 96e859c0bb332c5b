package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendLimits;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireServer;
import org.jboss.logging.Logger;

/**
 * The scheduler of one VM, without the adapters to the platform that hosts it.
 *
 * <p>Thread-safe once started.
 */
public final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class);

    /** How long a read of the jobs topic waits for new records, in milliseconds. */
    private static final long JOBS_WAIT_MILLIS = 400;

    /** Delay between reads of the jobs topic on a node that does not lead, in milliseconds. */
    private static final long JOBS_DELAY_MILLIS = 100;

    /** How long a read of the operators' topic waits for new records, in milliseconds. */
    private static final long OPERATORS_WAIT_MILLIS = 1_000;

    /** How long to wait for an announcement or a resignation to become durable, in milliseconds. */
    private static final long DURABLE_TIMEOUT_MILLIS = 1_000;

    /** How long to wait for a read that confirms the configuration, in milliseconds. */
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 1_000;

    private static final long ANNOUNCE_RETRY_DELAY_MILLIS = 300;

    private final long startedMillis = System.currentTimeMillis();
    private final Settings settings;
    private final FailoverLog log;
    private final Replica replica = new Replica();
    private final TopicConsumer jobConsumer;
    private final TopicConsumer operatorConsumer;
    private final LeaderElection leaderElection;
    private final JobService jobService;
    private WireServer server;

    /**
     * The settings of a node.
     *
     * @param name name of the node
     * @param wireAddress address at which it serves the wire protocol to other nodes
     * @param seeds addresses of other nodes, which may be stale
     * @param capacity what its VM offers
     * @param topics topics in the shared log
     * @param limits what the shared log takes in one append
     * @param maxConfigurationAgeMillis age up to which the operators' configuration counts as current, in milliseconds
     * @param scheduling returns which parts of the scheduler are in use now
     */
    public record Settings(
            String name,
            InetSocketAddress wireAddress,
            Supplier<List<String>> seeds,
            VmCapacity capacity,
            Topics topics,
            AppendLimits limits,
            long maxConfigurationAgeMillis,
            Supplier<SchedulingSettings> scheduling) {}

    /**
     * The external systems that a node uses.
     *
     * @param log the shared log
     * @param calls sends commands to targets
     * @param operatorDecoder decodes the operators' records
     * @param targetDecoder decodes the registrations of targets
     */
    public record Dependencies(
            KeyedLog log,
            TargetCalls calls,
            OperatorRecordDecoder operatorDecoder,
            TargetRecordDecoder targetDecoder) {}

    /** Creates a node that is not yet started. */
    public Node(Settings settings, Dependencies dependencies, MetricRegistry metrics) {
        this.settings = settings;
        log = new FailoverLog(dependencies.log(), new Peers(address(settings.wireAddress()), this::peerAddresses));
        ConfigurationView configuration = new ConfigurationView(dependencies.operatorDecoder());
        Term.Dependencies termDependencies = new Term.Dependencies(
                replica,
                configuration,
                dependencies.calls(),
                settings.topics(),
                settings.limits(),
                log,
                dependencies.targetDecoder(),
                metrics,
                settings.scheduling());
        jobConsumer = new TopicConsumer(
                settings.topics().jobs(),
                log,
                new TopicConsumer.PollSettings(JOBS_WAIT_MILLIS, JOBS_DELAY_MILLIS),
                replica);
        TopicConsumer.PollSettings operatorPollSettings = new TopicConsumer.PollSettings(OPERATORS_WAIT_MILLIS, 0);
        operatorConsumer = new TopicConsumer(settings.topics().operators(), log, operatorPollSettings, configuration);
        configuration.setConfirmer(() -> Thread.ofVirtual()
                .name("confirm-configuration")
                .start(() -> operatorConsumer.catchUp(Clocks.deadlineAfter(CONFIRMATION_TIMEOUT_MILLIS))));
        SplittableRandom random = new SplittableRandom(System.nanoTime());
        LeaderRecord self = new LeaderRecord(settings.name(), startedMillis, false);
        leaderElection = new LeaderElection(self, settings.capacity(), termDependencies, jobConsumer, random);
        jobService = new JobService(termDependencies, jobConsumer, settings.maxConfigurationAgeMillis());
    }

    private static String address(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private List<String> peerAddresses() {
        List<String> addresses = new ArrayList<>();
        replica.nodes().forEach(node -> addresses.add(node.address()));
        addresses.addAll(settings.seeds().get());
        return addresses;
    }

    /**
     * Starts to consume the log, to serve peers, and to lead when there is no other leader.
     *
     * @throws IOException if the wire address cannot be bound
     */
    public void start() throws IOException {
        server = WireServer.start(settings.wireAddress(), this::answer);
        operatorConsumer.start();
        jobConsumer.start();
        leaderElection.start();
        Thread.ofVirtual().name("announce").start(this::announce);
    }

    private Message answer(Message query, long deadline) {
        if (query instanceof Message.Identify) {
            long uptimeMillis = ManagementFactory.getRuntimeMXBean().getUptime();
            return new Message.Identity(settings.name(), startedMillis, uptimeMillis);
        }
        return log.answer(query, deadline);
    }

    /** Publishes this node's address in the log; retries until that is durable. */
    private void announce() {
        NodeRecord record = new NodeRecord(settings.name(), address(settings.wireAddress()), settings.capacity());
        Append append = new Append(settings.topics().jobs(), List.of(JobRecords.encode(record)), new Append.Always());
        while (!isSettled(append)) {
            if (!Clocks.sleep(ANNOUNCE_RETRY_DELAY_MILLIS)) {
                return;
            }
        }
        LOG.infof("announce: node=%s address=%s", record.name(), record.address());
    }

    /** Appends the announcement; returns whether that need not be repeated, as it is durable or never will be. */
    private boolean isSettled(Append append) {
        AtomicBoolean settled = new AtomicBoolean();
        Runnable attempt = () -> {
            AppendOutcome outcome = log.append(append, Clocks.deadlineAfter(DURABLE_TIMEOUT_MILLIS));
            if (outcome instanceof AppendOutcome.Rejected) {
                LOG.errorf("announce: node=%s outcome=%s", settings.name(), outcome);
            }
            settled.set(outcome instanceof AppendOutcome.Appended || outcome instanceof AppendOutcome.Rejected);
        };
        BackgroundTasks.run("announce", attempt, reason -> Clocks.sleep(BackgroundTasks.RETRY_DELAY_MILLIS));
        return settled.get();
    }

    /**
     * Encodes and decodes each kind of record once, so that the build can archive the classes that this loads.
     *
     * @throws IOException if a record cannot be decoded
     */
    public static void warmUp() throws IOException {
        JobRecords.warmUp();
    }

    /** Returns the service for callers. */
    public JobService jobService() {
        return jobService;
    }

    /** Resigns if this node leads, and never leads again. Callers are still served. */
    public void resign() {
        leaderElection.stop(DURABLE_TIMEOUT_MILLIS);
    }

    /** Stops consuming the log and serving peers. */
    public void stop() throws IOException {
        jobConsumer.stop();
        operatorConsumer.stop();
        server.close();
    }
}
