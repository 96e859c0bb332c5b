package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.pool.TargetInfo;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests terms of leaders while operators send a queue to another service, which has a target of its own. */
final class MovedQueueTest {
    private static final Topics TOPICS = new Topics("jobs", "operators", "targets");
    private static final String FORMER = "former";
    private static final String LATTER = "latter";
    private static final TaskId WAITING = new TaskId("waiting", 0, 0, 0);

    /** Time in which a term reads the registrations and starts what can start, in milliseconds. */
    private static final long SETTLED_MILLIS = 1_500;

    private final Services targets = new Services();
    private final MemoryLog log = new MemoryLog();
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
    private final AtomicReference<OperatorConfiguration> published = new AtomicReference<>();
    private Replica replica;
    private TopicConsumer jobConsumer;
    private ConfigurationView configuration;
    private Thread thread;

    /** Begins a term, and reads the newest configuration in it. */
    private void lead(long epoch) {
        beginTerm(epoch);
        readConfiguration();
    }

    /** Begins the term of a process that has just started and has read the log, and the configuration before. */
    private void beginTerm(long epoch) {
        replica = new Replica();
        jobConsumer = new TopicConsumer(TOPICS.jobs(), log, new TopicConsumer.PollSettings(0, 5), replica);
        jobConsumer.start();
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(published.get()));
        readConfiguration();
        LeaderLogWriter logWriter = new LeaderLogWriter(failoverLog, TOPICS.jobs(), MemoryLog.LIMITS, epoch);
        assertThat(logWriter.fenceEarlierTerms(Clocks.now())).isTrue();
        Term.Dependencies dependencies = new Term.Dependencies(
                replica,
                configuration,
                targets,
                TOPICS,
                MemoryLog.LIMITS,
                failoverLog,
                new TargetOfService(),
                new MetricRegistry(),
                () -> SchedulingSettings.OFF);
        Term term = new Term(
                new LeaderRecord("node", epoch, false),
                epoch,
                logWriter,
                EarlierLeases.of(replica, epoch),
                dependencies);
        thread = Thread.ofVirtual().start(term::run);
    }

    @AfterEach
    void stop() throws InterruptedException {
        thread.interrupt();
        jobConsumer.stop();
        thread.join();
    }

    private static long deadline() {
        return Clocks.deadlineAfter(5_000);
    }

    private void append(KeyedRecord record) {
        log.append(new Append(TOPICS.jobs(), List.of(record), new Append.Always()), deadline());
    }

    private void register(String service) {
        KeyedRecord registration = new KeyedRecord(service, new byte[] {1});
        log.append(new Append(TOPICS.targets(), List.of(registration), new Append.Always()), deadline());
    }

    /** Publishes a configuration whose queues are {@code queues}. */
    private void publish(long version, OperatorConfiguration.Queue... queues) {
        published.set(new OperatorConfiguration(version, List.of(queues), Map.of(), Map.of(), Set.of(FORMER, LATTER)));
    }

    private static OperatorConfiguration.Queue queueOf(String service) {
        return new OperatorConfiguration.Queue("queue", "host", "/p/", service, false, new Job.Terms(1, 3, 1.5, 250));
    }

    private void readConfiguration() {
        configuration.apply(
                new KeyedRecord("config", new byte[] {1}), published.get().version());
        configuration.caughtUp(Clocks.now(), published.get().version());
    }

    /** Returns a job that needs a whole target, as a node accepts it while the queue is sent to the former service. */
    private static Job jobOfFormer(String id) {
        Resources demand = new Resources(1_000, 1_000, 8);
        Step step = new Step(1, demand, 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(1, 3, 1.5, 250);
        return new Job(id, "queue", FORMER, "account", terms, "payload", List.of(step), Job.Schedule.NOW, 1);
    }

    private void fillFormerAndWait() {
        register(FORMER);
        append(JobRecords.encode(jobOfFormer("busy")));
        lead(1);
        Conditions.await(() -> targets.former.isRunning(new TaskId("busy", 0, 0, 0)));
        append(JobRecords.encode(jobOfFormer(WAITING.job())));
        Clocks.sleep(SETTLED_MILLIS);
        assertThat(targets.former.started).hasSize(1);
    }

    /** Guards against a job that waits for ever (LOST) for the full former service of its queue. */
    @Test
    void aWaitingJobFollowsItsQueueToAnotherService() {
        publish(7, queueOf(FORMER));
        fillFormerAndWait();
        register(LATTER);
        publish(12, queueOf(LATTER));
        readConfiguration();
        Conditions.await(() -> targets.latter.isRunning(WAITING));
        assertThat(targets.former.started).hasSize(1);
    }

    /** Guards against a restarted process that runs a job where its queue was sent when it was accepted. */
    @Test
    void aRestartedProcessKnowsTheLastServiceOfADroppedQueue() throws InterruptedException {
        publish(7, queueOf(FORMER));
        fillFormerAndWait();
        publish(12, queueOf(LATTER));
        readConfiguration();
        Clocks.sleep(SETTLED_MILLIS);
        stop();
        publish(13);
        lead(1_000);
        targets.former.complete(new TaskId("busy", 0, 0, 0));
        register(LATTER);
        Clocks.sleep(SETTLED_MILLIS);
        readConfiguration();
        Conditions.await(() -> targets.latter.isRunning(WAITING));
        assertThat(targets.former.started).hasSize(1);
    }

    /** Guards against starts on the former service (CONFIG) by a new leader that reads the configuration late. */
    @Test
    void aTermStartsNothingBeforeItsConfigurationIsConfirmed() {
        publish(7, queueOf(FORMER));
        register(FORMER);
        register(LATTER);
        append(JobRecords.encode(jobOfFormer(WAITING.job())));
        beginTerm(1);
        Clocks.sleep(SETTLED_MILLIS);
        assertThat(targets.former.started).isEmpty();
        publish(12, queueOf(LATTER));
        readConfiguration();
        Conditions.await(() -> targets.latter.isRunning(WAITING));
        assertThat(targets.former.started).isEmpty();
    }

    /** A target of each service, whose id is the name of the service. */
    private static final class Services implements TargetCalls {
        final MemoryTarget former = new MemoryTarget();
        final MemoryTarget latter = new MemoryTarget();

        private MemoryTarget target(Endpoint target) {
            return target.id().equals(FORMER) ? former : latter;
        }

        @Override
        public long maxLeaseMillis() {
            return former.maxLeaseMillis();
        }

        @Override
        public CommandReply start(Endpoint target, StartRequest request, long timeoutMillis) {
            return target(target).start(target, request, timeoutMillis);
        }

        @Override
        public CommandReply stop(Endpoint target, TaskId task, int run, long fence, long timeoutMillis) {
            return target(target).stop(target, task, run, fence, timeoutMillis);
        }

        @Override
        public ReportReply report(Endpoint target, ReportRequest request, long timeoutMillis) {
            return target(target).report(target, request, timeoutMillis);
        }
    }

    private static final class TargetOfService implements TargetRecordDecoder {
        @Override
        public Optional<String> targetId(KeyedRecord record) {
            return Optional.of(record.key()).filter(Set.of(FORMER, LATTER)::contains);
        }

        @Override
        public Optional<TargetInfo> decodeTarget(KeyedRecord record) {
            Resources capacity = new Resources(32_000, 64_000, 8);
            String service = record.key();
            return Optional.of(
                    new TargetInfo(service, service, "host:1", "dc", "rack", Set.of(), capacity, false, 0, 1));
        }
    }
}
