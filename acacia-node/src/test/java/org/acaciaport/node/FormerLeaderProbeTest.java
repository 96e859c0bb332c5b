package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests what a new leader concludes from the process that runs on the node of the former one. They guard against tasks
 * that wait (LOST) for leases which a process that is over cannot have granted, and against work that runs twice
 * (TWICE) as the leases of one that is not over, or of a leader before it, are taken for expired.
 */
final class FormerLeaderProbeTest {
    private static final String ADDRESS = "10.0.0.1:7000";
    private static final long STARTED_MILLIS = 1;
    private static final long UPTIME_MILLIS = 700;

    /** For how long the probe asks, in milliseconds. */
    private static final long PROBE_MILLIS = 500;

    private final Replica replica = new Replica();
    private final List<Long> ends = new ArrayList<>();
    private long offset;

    @BeforeEach
    void readRecords() {
        read(JobRecords.encode(new NodeRecord("former", ADDRESS, VmCapacity.UNKNOWN)));
        read(leader("earliest", 9));
        read(leader("former", STARTED_MILLIS));
        read(leader("former", STARTED_MILLIS));
        read(leader("latest", 5));
    }

    private void read(KeyedRecord record) {
        replica.apply(record, offset);
        offset++;
        replica.caughtUp(Clocks.now(), offset);
    }

    private static KeyedRecord leader(String node, long startedMillis) {
        return JobRecords.encode(new LeaderRecord(node, startedMillis, false));
    }

    /** Probes the former leader, which was followed {@code leadMillis} after it began to lead. */
    private void probe(long leadMillis, FormerLeaderProbe.Query query) {
        Replica.FormerLeader former = replica.formerLeader().orElseThrow();
        assertThat(former.record().node()).isEqualTo("former");
        Replica.FormerLeader since =
                new Replica.FormerLeader(former.record(), System.nanoTime() - leadMillis * Clocks.NANOS_PER_MILLI);
        new FormerLeaderProbe(since, replica, query, ends::add).run(Clocks.deadlineAfter(PROBE_MILLIS));
    }

    private static FormerLeaderProbe.Query process(String node, long startedMillis) {
        return (address, query, timeoutMillis) -> {
            assertThat(address).isEqualTo(ADDRESS);
            return new Message.Identity(node, startedMillis, UPTIME_MILLIS);
        };
    }

    private static long millisFromNow(long nanos) {
        return (nanos - System.nanoTime()) / Clocks.NANOS_PER_MILLI;
    }

    @Test
    void noLeaseWasGrantedSinceAnotherProcessStarted() {
        long leaseMillis = millisFromNow(TargetLease.latestEndNanos(System.nanoTime()));
        probe(60_000, process("former", STARTED_MILLIS + 1));
        assertThat(ends).hasSize(1);
        assertThat(millisFromNow(ends.get(0))).isAtMost(leaseMillis - UPTIME_MILLIS + 1);
        assertThat(millisFromNow(ends.get(0))).isAtLeast(leaseMillis - UPTIME_MILLIS - 200);
    }

    @Test
    void leasesOfALeaderBeforeItMayLastLonger() {
        probe(0, process("former", STARTED_MILLIS + 1));
        long authorityEnd = Clocks.deadlineAfter(Term.MAX_UNCONFIRMED_MILLIS - 200);
        assertThat(ends.get(0) - TargetLease.latestEndNanos(authorityEnd)).isGreaterThan(0L);
    }

    @Test
    void aProcessThatStillRunsMayGrantLeases() {
        probe(60_000, process("former", STARTED_MILLIS));
        assertThat(ends).isEmpty();
    }

    @Test
    void theProcessOfAnotherNodeShowsNothing() {
        probe(60_000, process("other", STARTED_MILLIS + 1));
        assertThat(ends).isEmpty();
    }

    @Test
    void aNodeIsAskedUntilItAnswers() {
        List<String> asked = new ArrayList<>();
        FormerLeaderProbe.Query restarted = process("former", STARTED_MILLIS + 1);
        probe(60_000, (address, query, timeoutMillis) -> {
            asked.add(address);
            if (asked.size() < 2) {
                throw new WireException(WireException.Kind.NO_REPLY, "no reply", null);
            }
            return restarted.ask(address, query, timeoutMillis);
        });
        assertThat(ends).hasSize(1);
    }

    @Test
    void aSnapshotDoesNotShowTheFormerLeader() {
        replica.reset();
        replica.apply(leader("latest", 5), 4);
        replica.caughtUp(Clocks.now(), 5);
        assertThat(replica.formerLeader()).isEmpty();
    }

    @Test
    void aLeaseEndsSoonerIfTheFormerLeaderIsOver() {
        TargetLease lease = new TargetLease(Clocks.deadlineAfter(60_000), false, 6_000);
        assertThat(lease.isExpired()).isFalse();
        lease.limitEarlierLeases(System.nanoTime());
        Clocks.sleep(1);
        assertThat(lease.isExpired()).isTrue();
        assertThat(new EarlierLeases(9, Map.of("t", 5L)).endingBy(7).endNanos("t"))
                .isEqualTo(5);
    }
}
