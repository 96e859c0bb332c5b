package org.acaciaport.node;

import java.util.List;
import java.util.SplittableRandom;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Elects this node as leader when the log shows no live leader, and runs its term.
 *
 * <p>Runs on its own thread. A candidate appends its leader record on condition that the log still ends where its
 * replica ends, so at most one of several candidates succeeds. The offset of that record is the epoch of the term,
 * which is therefore unique. An exception ends neither the thread nor the node's candidacy: after a pause, in which
 * other nodes may claim, it checks again.
 */
final class LeaderElection {
    private static final Logger LOG = Logger.getLogger(LeaderElection.class);
    private static final long CHECK_INTERVAL_MILLIS = 25;

    /**
     * Time without a record from the leader after which it is considered failed, in milliseconds; spans several
     * heartbeats.
     */
    private static final long FAILURE_TIMEOUT_MILLIS = 3 * Term.HEARTBEAT_INTERVAL_MILLIS;

    /**
     * Multiple of the duration of the last read that is added to the failure timeout, so that a slow log is not
     * mistaken for a failed leader.
     */
    private static final int READ_DURATION_FACTOR = 2;

    /** Upper bound of the random delay before a claim, in milliseconds; reduces simultaneous claims. */
    private static final int MAX_JITTER_MILLIS = 60;

    private static final long CLAIM_TIMEOUT_MILLIS = 1_500;

    private static final long NOT_VACANT = -1;

    private final LeaderRecord self;
    private final VmCapacity capacity;
    private final Term.Dependencies dependencies;
    private final TopicConsumer jobConsumer;
    private final SplittableRandom random;
    private volatile boolean stopped;
    private volatile Term term;
    private Thread thread;

    /** Since when no live leader is seen, on the monotonic clock, in nanoseconds, or {@link #NOT_VACANT}. */
    private long vacantSinceNanos = NOT_VACANT;

    LeaderElection(
            LeaderRecord self,
            VmCapacity capacity,
            Term.Dependencies dependencies,
            TopicConsumer jobConsumer,
            SplittableRandom random) {
        this.self = self;
        this.capacity = capacity;
        this.dependencies = dependencies;
        this.jobConsumer = jobConsumer;
        this.random = random;
    }

    void start() {
        thread = Thread.ofPlatform().name("lead").daemon().start(this::run);
    }

    private void run() {
        while (!stopped) {
            BackgroundTasks.run("lead", this::leadIfVacant, reason -> Clocks.sleep(BackgroundTasks.RETRY_DELAY_MILLIS));
            if (!Clocks.sleep(CHECK_INTERVAL_MILLIS)) {
                return;
            }
        }
    }

    private void leadIfVacant() {
        if (!hasWaitedToClaim() || !isLeadershipVacant()) {
            return;
        }
        try {
            claimAndLead();
        } catch (RuntimeException e) {
            LOG.errorf(e, "lead: outcome=failed");
            throw e;
        } finally {
            term = null;
            jobConsumer.setPollContinuously(false);
        }
    }

    /**
     * Returns whether this node could lead and has seen no live leader for as long as it leaves the claim to nodes on
     * larger VMs.
     */
    private boolean hasWaitedToClaim() {
        Replica replica = dependencies.replica();
        ClockReading asOf = replica.asOf();
        if (asOf == null || dependencies.configuration().latest() == null || !hasNoLiveLeader(asOf)) {
            vacantSinceNanos = NOT_VACANT;
            return false;
        }
        long now = System.nanoTime();
        if (vacantSinceNanos == NOT_VACANT) {
            vacantSinceNanos = now;
        }
        long delayMillis = ClaimDelay.millis(self.node(), capacity, replica.nodes());
        return now - vacantSinceNanos >= delayMillis * Clocks.NANOS_PER_MILLI;
    }

    /** Returns whether the log, read to its end, shows no live leader. */
    private boolean isLeadershipVacant() {
        Clocks.sleep(random.nextInt(MAX_JITTER_MILLIS));
        ClockReading readStart = Clocks.now();
        if (!jobConsumer.catchUp(Clocks.deadlineAfter(CLAIM_TIMEOUT_MILLIS))) {
            return false;
        }
        ClockReading current = dependencies.replica().asOf();
        long readMillis = Clocks.now().millisSince(readStart.monotonicNanos());
        Replica.Leader leader = dependencies.replica().leader();
        if (current == null || isDefinitelyVacant(leader)) {
            return current != null;
        }
        return current.millisSince(leader.receivedNanos()) > FAILURE_TIMEOUT_MILLIS + READ_DURATION_FACTOR * readMillis;
    }

    /** Returns whether the replica as of {@code asOf} shows no live leader. */
    private boolean hasNoLiveLeader(ClockReading asOf) {
        Replica.Leader leader = dependencies.replica().leader();
        return isDefinitelyVacant(leader) || asOf.millisSince(leader.receivedNanos()) > FAILURE_TIMEOUT_MILLIS;
    }

    /**
     * Returns whether there is certainly no leader: none so far, one that resigned, or this node before its restart.
     */
    private boolean isDefinitelyVacant(Replica.Leader leader) {
        return leader == null || leader.record().resigned() || self.replaces(leader.record());
    }

    /** Claims leadership and, if the claim succeeds, runs the term until it ends. */
    private void claimAndLead() {
        long end = dependencies.replica().nextOffset();
        // The claim fails if there is a record after that offset, so it follows this leader.
        Replica.Leader followed = dependencies.replica().leader();
        Append claim =
                new Append(dependencies.topics().jobs(), List.of(JobRecords.encode(self)), new Append.AtEnd(end));
        ClockReading claimed = Clocks.now();
        AppendOutcome outcome = dependencies.log().append(claim, Clocks.deadlineAfter(CLAIM_TIMEOUT_MILLIS));
        LOG.infof("lead: step=claim at=%s outcome=%s", end, outcome);
        if (!(outcome instanceof AppendOutcome.Appended appended)) {
            return;
        }
        long epoch = appended.offset();
        LeaderLogWriter logWriter =
                new LeaderLogWriter(dependencies.log(), dependencies.topics().jobs(), dependencies.limits(), epoch);
        if (!logWriter.fenceEarlierTerms(claimed) || !jobConsumer.catchUp(Clocks.deadlineAfter(CLAIM_TIMEOUT_MILLIS))) {
            return;
        }
        EarlierLeases earlierLeases =
                EarlierLeases.of(dependencies.replica(), epoch, self, followed == null ? null : followed.record());
        Term next = new Term(self, epoch, logWriter, earlierLeases, dependencies);
        term = next;
        jobConsumer.setPollContinuously(true);
        if (!stopped) {
            next.run();
        }
    }

    /**
     * Resigns if this node leads, and never claims leadership again.
     *
     * @param millis how long to wait for the resignation to become durable, in milliseconds
     */
    void stop(long millis) {
        stopped = true;
        Term current = term;
        if (current != null) {
            current.resign(millis);
        }
    }
}
