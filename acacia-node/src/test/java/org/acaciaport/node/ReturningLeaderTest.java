package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.TargetInfo;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a term concludes from the process of the leader before it, if its own process has led before. */
final class ReturningLeaderTest {
    private static final Topics TOPICS = new Topics("jobs", "operators", "targets");
    private static final LeaderRecord SELF = new LeaderRecord("node", 2_000, false);
    private static final LeaderRecord FORMER = new LeaderRecord("former", 1_000, false);

    /** How long the node of the former leader has run another process, in milliseconds. */
    private static final long UPTIME_MILLIS = 60_000;

    /** Time in which a term that asks another node about its process has done so, in milliseconds. */
    private static final long PROBED_MILLIS = 1_500;

    private final MemoryLog log = new MemoryLog();
    private final Replica replica = new Replica();
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
    private final TopicConsumer jobConsumer =
            new TopicConsumer(TOPICS.jobs(), failoverLog, new TopicConsumer.PollSettings(0, 1), replica);
    private final AtomicInteger questions = new AtomicInteger();
    private WireServer formerNode;
    private LeaderElection election;

    @BeforeEach
    void startFormerNode() throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        formerNode = WireServer.start(address, (query, deadline) -> {
            questions.incrementAndGet();
            return new Message.Identity(FORMER.node(), FORMER.startedMillis() + 1, UPTIME_MILLIS);
        });
        jobConsumer.start();
        append(JobRecords.encode(new NodeRecord(FORMER.node(), "127.0.0.1:" + formerNode.port(), VmCapacity.UNKNOWN)));
    }

    @AfterEach
    void stop() throws IOException, InterruptedException {
        election.stop(1_000);
        jobConsumer.stop();
        formerNode.drain(100);
    }

    /** Appends a record and reads it, so that the replica sees all records in order. */
    private void append(KeyedRecord record) {
        log.append(new Append(TOPICS.jobs(), List.of(record), new Append.Always()), Clocks.deadlineAfter(1_000));
        assertThat(jobConsumer.catchUp(Clocks.deadlineAfter(5_000))).isTrue();
    }

    private void appendLeader(LeaderRecord record) {
        append(JobRecords.encode(record));
    }

    private void lead() {
        ConfigurationView configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
                new OperatorConfiguration(1, List.of(), Map.of(), Map.of(), Set.of())));
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(Clocks.now(), 1);
        Term.Dependencies dependencies = new Term.Dependencies(
                replica,
                configuration,
                null,
                TOPICS,
                MemoryLog.LIMITS,
                failoverLog,
                new NoTargets(),
                new MetricRegistry(),
                () -> SchedulingSettings.OFF);
        VmCapacity capacity = new VmCapacity(1, 100);
        election = new LeaderElection(SELF, capacity, dependencies, jobConsumer, new SplittableRandom(1));
        try (LogCapture capture = LogCapture.of(Term.class)) {
            election.start();
            Conditions.await(
                    () -> !capture.messagesContaining("outcome=leading").isEmpty());
        }
    }

    /** Guards against work that runs twice (TWICE), as leases of the first term are taken for those of its former. */
    @Test
    void aSecondTermOfAProcessConcludesNothingFromTheLeaderBeforeItsFirstOne() {
        appendLeader(FORMER);
        appendLeader(SELF);
        appendLeader(new LeaderRecord(SELF.node(), SELF.startedMillis(), true));
        lead();
        Clocks.sleep(PROBED_MILLIS);
        assertThat(questions.get()).isEqualTo(0);
    }

    /** Guards against tasks that wait (LOST) for leases of a process that is over, though this one led before it. */
    @Test
    void aTermAfterAnotherLeaderAsksWhetherThatOneIsOver() {
        appendLeader(SELF);
        appendLeader(new LeaderRecord(SELF.node(), SELF.startedMillis(), true));
        appendLeader(FORMER);
        appendLeader(new LeaderRecord(FORMER.node(), FORMER.startedMillis(), true));
        lead();
        Conditions.await(() -> questions.get() > 0);
    }

    private static final class NoTargets implements TargetRecordDecoder {
        @Override
        public Optional<String> targetId(KeyedRecord record) {
            return Optional.empty();
        }

        @Override
        public Optional<TargetInfo> decodeTarget(KeyedRecord record) {
            return Optional.empty();
        }
    }
}
