package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

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

/** Who takes the lead and when, against a log in memory. */
final class LeaderElectionTest {
    private static final Topics TOPICS = new Topics("jobs", "operators", "targets");
    private static final LeaderRecord SELF = new LeaderRecord("node", 2_000, false);

    private static final long PATIENCE_SECONDS = 20;
    private static final long BEAT_MILLIS = 60;

    private final MemoryLog log = new MemoryLog();
    private final Replica replica = new Replica();
    private final FailoverLog routes = new FailoverLog(log, new Peers("self:1", List::of));
    private final TopicConsumer jobs =
            new TopicConsumer(TOPICS.jobs(), routes, new TopicConsumer.PollSettings(0, 1), replica);

    private LeaderElection leadership() {
        ConfigurationView operators = new ConfigurationView(record ->
                new OperatorCodec.Published(new OperatorConfiguration(1, List.of(), Map.of(), Map.of(), Set.of("s"))));
        operators.apply(KeyedRecord.drop("config"), 0);
        operators.caughtUp(Clocks.now(), 1);
        Term.Dependencies dependencies =
                new Term.Dependencies(replica, operators, null, TOPICS, routes, new NoTargets());
        return new LeaderElection(SELF, dependencies, jobs, new SplittableRandom(1));
    }

    private void lead(LeaderRecord record) {
        log.append(
                new Append(TOPICS.jobs(), List.of(JobRecords.leader(record)), new Append.Always()), Clocks.in(1_000));
    }

    /** Returns whether the log holds a claim of this node's present program. */
    private boolean claimed() throws IOException {
        ReadOutcome.Records read = (ReadOutcome.Records) log.read(TOPICS.jobs(), 0, 0, Clocks.in(1_000));
        for (KeyedRecord record : read.records()) {
            boolean leader = record.key().equals(JobRecords.LEADER);
            if (leader && JobRecords.read(record, LeaderRecord.class).equals(SELF)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Pattern: all nodes are killed and start again. The former leader's node used to wait until the silence of its
     * former program was noticed. Here that program never seems silent, so only the restart can be the reason.
     */
    @Test
    void aLeaderThatWasStartedAgainNeedNotWaitForItsOwnSilence() throws Exception {
        jobs.start();
        LeaderElection leadership = leadership();
        leadership.start();
        long deadline = Clocks.in(TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
        while (!claimed() && Clocks.millisUntil(deadline) > 0) {
            lead(new LeaderRecord(SELF.node(), 1_000, false));
            Clocks.sleep(BEAT_MILLIS);
        }
        leadership.stop(1_000);
        jobs.stop();
        assertThat(claimed()).isTrue();
    }

    @Test
    void anotherNodesLeaderIsLeftAloneWhileItWrites() throws Exception {
        jobs.start();
        lead(new LeaderRecord("other", 1_000, false));
        LeaderElection leadership = leadership();
        leadership.start();
        for (int i = 0; i < 15; i++) {
            lead(new LeaderRecord("other", 1_000, false));
            Clocks.sleep(BEAT_MILLIS);
        }
        leadership.stop(1_000);
        jobs.stop();
        assertThat(claimed()).isFalse();
    }

    /** Decodes nothing; the log in memory holds the topics of all in one. */
    private static final class NoTargets implements TargetCodec {
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
