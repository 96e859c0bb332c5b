package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.pool.TargetInfo;
import org.junit.jupiter.api.Test;

/** Tests when a node claims leadership, against an in-memory log. */
final class LeaderElectionTest {
    private static final Topics TOPICS = new Topics("jobs", "operators", "targets");
    private static final VmCapacity CAPACITY = new VmCapacity(1, 100);
    private static final LeaderRecord SELF = new LeaderRecord("node", 2_000, false);

    private static final long TIMEOUT_SECONDS = 20;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 60;

    /** Least delay of a VM with a hundredth of the largest one's capacity, in milliseconds. */
    private static final long SMALL_VM_DELAY_MILLIS = ClaimDelay.MAX_MILLIS * 99 / 100 - 1;

    private final MemoryLog log = new MemoryLog();
    private final Replica replica = new Replica();
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
    private final TopicConsumer jobConsumer =
            new TopicConsumer(TOPICS.jobs(), failoverLog, new TopicConsumer.PollSettings(0, 1), replica);

    private final ConfigurationView configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
            new OperatorConfiguration(1, List.of(), Map.of(), Map.of(), Set.of("s"))));

    private LeaderElection newElection() {
        publishConfiguration();
        return newElectionWithoutConfiguration();
    }

    private void publishConfiguration() {
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(Clocks.now(), 1);
        configuration.setConfirmer(() -> configuration.caughtUp(Clocks.now(), 1));
    }

    private LeaderElection newElectionWithoutConfiguration() {
        return newElectionWithoutConfiguration(CAPACITY);
    }

    private LeaderElection newElectionWithoutConfiguration(VmCapacity capacity) {
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
        return new LeaderElection(SELF, capacity, dependencies, jobConsumer, new SplittableRandom(1));
    }

    private void appendLeaderRecord(LeaderRecord record) {
        log.append(
                new Append(TOPICS.jobs(), List.of(JobRecords.encode(record)), new Append.Always()),
                Clocks.deadlineAfter(1_000));
    }

    /** Returns whether the log holds a claim of the process under test. */
    private boolean hasClaimed() throws IOException {
        ReadOutcome.Records read = (ReadOutcome.Records) log.read(TOPICS.jobs(), 0, 0, Clocks.deadlineAfter(1_000));
        for (KeyedRecord record : read.records()) {
            boolean leader = record.key().equals(JobRecords.LEADER_KEY);
            if (leader && JobRecords.decode(record, LeaderRecord.class).equals(SELF)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Guards against a restarted leader waiting for the failure timeout of its own earlier process, for example after
     * all nodes were killed. Here that process keeps writing heartbeats, so only the restart can cause the claim.
     */
    @Test
    void aRestartedLeaderClaimsWithoutWaitingForTheFailureTimeout() throws Exception {
        jobConsumer.start();
        LeaderElection election = newElection();
        election.start();
        long deadline = Clocks.deadlineAfter(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        while (!hasClaimed() && Clocks.millisUntil(deadline) > 0) {
            appendLeaderRecord(new LeaderRecord(SELF.node(), 1_000, false));
            Clocks.sleep(HEARTBEAT_INTERVAL_MILLIS);
        }
        election.stop(1_000);
        jobConsumer.stop();
        assertThat(hasClaimed()).isTrue();
    }

    @Test
    void noClaimWhileAnotherLeaderSendsHeartbeats() throws Exception {
        jobConsumer.start();
        appendLeaderRecord(new LeaderRecord("other", 1_000, false));
        LeaderElection election = newElection();
        election.start();
        for (int i = 0; i < 15; i++) {
            appendLeaderRecord(new LeaderRecord("other", 1_000, false));
            Clocks.sleep(HEARTBEAT_INTERVAL_MILLIS);
        }
        election.stop(1_000);
        jobConsumer.stop();
        assertThat(hasClaimed()).isFalse();
    }

    /** Appends the record of a node on a much larger VM, and returns once the replica has it. */
    private void announceLargerVm() {
        NodeRecord larger = new NodeRecord("larger", "larger:1", new VmCapacity(100, 10_000));
        log.append(
                new Append(TOPICS.jobs(), List.of(JobRecords.encode(larger)), new Append.Always()),
                Clocks.deadlineAfter(1_000));
        jobConsumer.start();
        assertThat(jobConsumer.catchUp(Clocks.deadlineAfter(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS))))
                .isTrue();
    }

    /** Guards against a node that never leads again, since one check whether to lead threw. */
    @Test
    void aCheckThatThrowsIsRepeated() {
        announceLargerVm();
        publishConfiguration();
        VmCapacity missing = null;
        LeaderElection election = newElectionWithoutConfiguration(missing);
        try (LogCapture capture = LogCapture.of(BackgroundTasks.class)) {
            election.start();
            long deadline = Clocks.deadlineAfter(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            while (failures(capture) < 2 && Clocks.millisUntil(deadline) > 0) {
                Clocks.sleep(1);
            }
            assertThat(failures(capture)).isAtLeast(2);
        } finally {
            election.stop(1_000);
            jobConsumer.stop();
        }
    }

    private static int failures(LogCapture capture) {
        return capture.messagesContaining("background: task=lead outcome=failed reason=")
                .size();
    }

    private long awaitClaimMillis(long startNanos) throws IOException {
        long deadline = Clocks.deadlineAfter(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        while (!hasClaimed() && Clocks.millisUntil(deadline) > 0) {
            Clocks.sleep(1);
        }
        assertThat(hasClaimed()).isTrue();
        return -Clocks.millisUntil(startNanos);
    }

    /** Guards against a leader on a small VM while a larger one could lead. */
    @Test
    void aNodeOnASmallVmLeavesTheClaimToALargerOneForAWhile() throws Exception {
        announceLargerVm();
        LeaderElection election = newElection();
        long start = System.nanoTime();
        election.start();
        long claimedAfterMillis = awaitClaimMillis(start);
        election.stop(1_000);
        jobConsumer.stop();
        assertThat(claimedAfterMillis).isAtLeast(SMALL_VM_DELAY_MILLIS);
    }

    /** Guards against small VMs that lead since their delay has passed before any node could lead. */
    @Test
    void theDelayOfASmallVmBeginsOnceThereIsAConfiguration() throws Exception {
        announceLargerVm();
        LeaderElection election = newElectionWithoutConfiguration();
        election.start();
        Clocks.sleep(2 * ClaimDelay.MAX_MILLIS);
        long start = System.nanoTime();
        publishConfiguration();
        long claimedAfterMillis = awaitClaimMillis(start);
        election.stop(1_000);
        jobConsumer.stop();
        assertThat(claimedAfterMillis).isAtLeast(SMALL_VM_DELAY_MILLIS);
    }

    /** Ignores all records, since the in-memory log has the records of all topics in one. */
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
