package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import org.acaciaport.log.KeyedRecord;
import org.junit.jupiter.api.Test;

/** Tests what a new term knows of the leases that earlier ones granted. */
final class EarlierLeasesTest {
    private static final long PAUSE_MILLIS = 300;

    private final Replica replica = new Replica();
    private long offset;

    private void read(KeyedRecord record) {
        replica.apply(record, offset);
        offset++;
        replica.caughtUp(Clocks.now(), offset);
    }

    private static KeyedRecord leader(String node) {
        return JobRecords.encode(new LeaderRecord(node, 1, false));
    }

    /** Returns when leases that are granted until the authority of a leader ends now have expired. */
    private static long endAsOfNow() {
        return TargetLease.latestEndNanos(Clocks.deadlineAfter(Term.MAX_UNCONFIRMED_MILLIS));
    }

    private static long millisBetween(long first, long second) {
        return (second - first) / Clocks.NANOS_PER_MILLI;
    }

    /** Guards against tasks that wait (LOST) for leases which the failed leader cannot have granted. */
    @Test
    void leasesCountFromTheLastRecordOfTheEarlierLeader() {
        read(leader("earlier"));
        long end = endAsOfNow();
        Clocks.sleep(PAUSE_MILLIS);
        read(leader("later"));
        EarlierLeases leases = EarlierLeases.of(replica, offset - 1);
        assertThat(millisBetween(end, leases.endNanos("t"))).isAtMost(0);
        assertThat(leases.areRunningOut("t")).isFalse();
    }

    /** Guards against work that runs twice (TWICE), since the earlier leader wrote until it was fenced. */
    @Test
    void aRecordOfTheEarlierLeaderAfterTheClaimCounts() {
        read(leader("earlier"));
        read(leader("later"));
        long claim = offset - 1;
        Clocks.sleep(PAUSE_MILLIS);
        long end = endAsOfNow();
        read(leader("earlier"));
        assertThat(millisBetween(end, EarlierLeases.of(replica, claim).endNanos("t")))
                .isAtLeast(0);
    }

    /** Guards against work that runs twice (TWICE), since a snapshot hides when an earlier record was received. */
    @Test
    void inASnapshotEachRecordCountsAsReceivedThen() {
        read(leader("earlier"));
        Clocks.sleep(PAUSE_MILLIS);
        long end = endAsOfNow();
        replica.reset();
        replica.apply(leader("later"), 7);
        replica.apply(KeyedRecord.tombstone(JobRecords.PROGRESS_PREFIX + "a"), 3);
        replica.caughtUp(Clocks.now(), 8);
        assertThat(millisBetween(end, EarlierLeases.of(replica, 7).endNanos("t")))
                .isAtLeast(0);
    }

    @Test
    void theRecordOfATargetCountsFromWhenItWasFirstReceived() {
        read(JobRecords.encode(new LeaseRecord("t", 1_000)));
        long end = Clocks.deadlineAfter(1_000);
        Clocks.sleep(PAUSE_MILLIS);
        replica.reset();
        replica.apply(JobRecords.encode(new LeaseRecord("t", 1_000)), 0);
        replica.caughtUp(Clocks.now(), 1);
        EarlierLeases leases = EarlierLeases.of(replica, 5);
        assertThat(millisBetween(end, leases.endNanos("t"))).isAtMost(0);
        assertThat(leases.areRunningOut("t")).isTrue();
        read(KeyedRecord.tombstone(JobRecords.LEASE_PREFIX + "t"));
        assertThat(EarlierLeases.of(replica, 5).areRunningOut("t")).isFalse();
    }

    @Test
    void aSuspendedLeaseIsNotRenewed() {
        TargetLease lease = new TargetLease(1, false, 6_000);
        lease.recordRestart(1_000);
        assertThat(lease.nextLeaseEndMillis().isPresent()).isTrue();
        long end = lease.suspend();
        assertThat(millisBetween(TargetLease.latestEndNanos(System.nanoTime()), end))
                .isAtMost(10);
        assertThat(lease.nextLeaseEndMillis().isEmpty()).isTrue();
        lease.resume();
        assertThat(lease.nextLeaseEndMillis().isPresent()).isTrue();
    }
}
