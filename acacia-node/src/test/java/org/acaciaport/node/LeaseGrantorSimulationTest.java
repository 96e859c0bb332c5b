package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.acaciaport.log.KeyedRecord;
import org.junit.jupiter.api.Test;

/**
 * Plays random orders of claims, heartbeats, resignations (as after outages of the log), restarts and snapshots, in
 * which terms return to the same process, claims are abandoned, and leaders write until they are fenced.
 */
final class LeaseGrantorSimulationTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 200;
    private static final int NODES = 3;

    private static final int ABANDONED_CLAIM_PERCENT = 15;
    private static final int LATE_RECORD_PERCENT = 25;

    /**
     * Guards against work that runs twice (TWICE), as a process is taken for the only one that can have granted the
     * leases that last, while another one has led since.
     */
    @Test
    void noOtherProcessHasLedSinceTheGrantorBeganTo() {
        Coverage coverage = new Coverage();
        for (int seed = 0; seed < SEEDS; seed++) {
            new Play(seed, coverage).run();
        }
        assertThat(coverage.terms).isGreaterThan(SEEDS);
        assertThat(coverage.returningTerms).isGreaterThan(SEEDS);
        assertThat(coverage.knownGrantors).isGreaterThan(SEEDS);
    }

    /** What the plays contained. */
    private static final class Coverage {
        int terms;
        int returningTerms;
        int knownGrantors;
    }

    /**
     * A record that a leader wrote.
     *
     * @param leader the record
     * @param nanos a moment before it was read, on the monotonic clock
     */
    private record Write(LeaderRecord leader, long nanos) {}

    /** One play. */
    private static final class Play {
        private final int seed;
        private final SplittableRandom random;
        private final Coverage coverage;
        private final Replica replica = new Replica();
        private final long[] started = new long[NODES];
        private final List<Write> writes = new ArrayList<>();

        /** The process that is leading, and may write until the log fences it; null if none is. */
        private LeaderRecord leader;

        private long offset;

        Play(int seed, Coverage coverage) {
            this.seed = seed;
            this.random = new SplittableRandom(seed);
            this.coverage = coverage;
            read(JobRecords.encode(new NodeRecord("n0", "n0:1", VmCapacity.UNKNOWN)));
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                switch (random.nextInt(8)) {
                    case 0, 1, 2 -> claim(process(random.nextInt(NODES)));
                    case 3, 4 -> writeAsLeader();
                    case 5 -> resign();
                    case 6 -> restart(random.nextInt(NODES));
                    default -> readSnapshot();
                }
            }
        }

        private LeaderRecord process(int node) {
            return new LeaderRecord("n" + node, started[node], false);
        }

        private boolean happens(int percent) {
            return random.nextInt(100) < percent;
        }

        private void read(KeyedRecord record) {
            replica.apply(record, offset);
            offset++;
            replica.caughtUp(Clocks.now(), offset);
        }

        private void write(LeaderRecord record) {
            writes.add(new Write(record, System.nanoTime()));
            read(JobRecords.encode(record));
        }

        private void writeAsLeader() {
            if (leader != null) {
                write(leader);
            }
        }

        private void resign() {
            if (leader != null) {
                write(new LeaderRecord(leader.node(), leader.startedMillis(), true));
                leader = null;
            }
        }

        private void restart(int node) {
            if (leader != null && leader.node().equals("n" + node)) {
                leader = null;
            }
            started[node]++;
        }

        /** Reads the newest records of all keys, as after a fall behind the log. */
        private void readSnapshot() {
            if (writes.isEmpty()) {
                return;
            }
            replica.reset();
            replica.apply(JobRecords.encode(writes.get(writes.size() - 1).leader()), offset - 1);
            replica.caughtUp(Clocks.now(), offset);
        }

        /** A process claims; the leader before it may write until the claim is fenced, which may never be. */
        private void claim(LeaderRecord self) {
            if (leader != null && leader.isOfProcessOf(self)) {
                // A process claims only once its term has ended.
                leader = null;
            }
            Replica.Leader followed = replica.leader();
            long epoch = offset;
            int claimed = writes.size();
            write(self);
            if (happens(LATE_RECORD_PERCENT)) {
                writeAsLeader();
            }
            if (happens(ABANDONED_CLAIM_PERCENT)) {
                return;
            }
            leader = self;
            coverage.terms++;
            coverage.returningTerms += followed != null && followed.record().isOfProcessOf(self) ? 1 : 0;
            LeaderRecord last = followed == null ? null : followed.record();
            check(self, claimed, EarlierLeases.of(replica, epoch, self, last).grantor());
        }

        private void check(LeaderRecord self, int claimed, Optional<Replica.FormerLeader> found) {
            if (found.isEmpty()) {
                return;
            }
            coverage.knownGrantors++;
            Replica.FormerLeader grantor = found.get();
            String play = "seed " + seed + ", record " + claimed;
            assertWithMessage(play).that(grantor.record().isOfProcessOf(self)).isFalse();
            for (int i = 0; i < writes.size(); i++) {
                Write write = writes.get(i);
                if (i != claimed && !write.leader().isOfProcessOf(grantor.record())) {
                    assertWithMessage(play + ": record " + i + " of " + write.leader() + ", grantor " + grantor)
                            .that(write.nanos() - grantor.sinceNanos())
                            .isAtMost(0);
                }
            }
        }
    }
}
