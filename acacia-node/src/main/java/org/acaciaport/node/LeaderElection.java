package org.acaciaport.node;

import java.util.List;
import java.util.SplittableRandom;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Takes the lead when the log shows that nobody has it.
 *
 * <p>Runs on a thread of its own. A claim is appended only where this node's copy of the log ends, so of several nodes
 * one succeeds; the offset of its record is the epoch of the term, which no other term can have.
 */
final class LeaderElection {
    private static final Logger LOG = Logger.getLogger(LeaderElection.class);
    private static final long LOOK_MILLIS = 25;

    /** Silence after which a leader counts as lost, in milliseconds; a few of its pauses between records. */
    private static final long SILENCE_MILLIS = 3 * Term.BEAT_MILLIS;

    /** How much of a slow read's duration is added to the silence allowed. */
    private static final int READ_FACTOR = 2;

    /** Longest random delay of a claim, in milliseconds, so that nodes seldom claim at once. */
    private static final int JITTER_MILLIS = 60;

    private static final long CLAIM_MILLIS = 1_500;

    private final LeaderRecord self;
    private final Term.Dependencies dependencies;
    private final TopicConsumer jobs;
    private final SplittableRandom random;
    private volatile boolean stopped;
    private volatile Term term;
    private Thread thread;

    LeaderElection(LeaderRecord self, Term.Dependencies dependencies, TopicConsumer jobs, SplittableRandom random) {
        this.self = self;
        this.dependencies = dependencies;
        this.jobs = jobs;
        this.random = random;
    }

    void start() {
        thread = Thread.ofPlatform().name("lead").daemon().start(this::run);
    }

    private void run() {
        while (!stopped) {
            if (vacant()) {
                try {
                    lead();
                } catch (RuntimeException e) {
                    LOG.errorf(e, "lead: outcome=failed");
                }
                term = null;
            }
            if (!Clocks.sleep(LOOK_MILLIS)) {
                return;
            }
        }
    }

    /** Returns whether the log, read up to now, shows no living leader. */
    private boolean vacant() {
        ClockReading asOf = dependencies.replica().asOf();
        if (asOf == null || dependencies.operators().configuration() == null || !silent(asOf)) {
            return false;
        }
        Clocks.sleep(random.nextInt(JITTER_MILLIS));
        ClockReading asked = Clocks.now();
        if (!jobs.catchUp(Clocks.in(CLAIM_MILLIS))) {
            return false;
        }
        ClockReading fresh = dependencies.replica().asOf();
        long took = Clocks.now().millisSince(asked.monotonicNanos());
        Replica.Leader leader = dependencies.replica().leader();
        if (fresh == null || over(leader)) {
            return fresh != null;
        }
        return fresh.millisSince(leader.heardNanos()) > SILENCE_MILLIS + READ_FACTOR * took;
    }

    private boolean silent(ClockReading asOf) {
        Replica.Leader leader = dependencies.replica().leader();
        return over(leader) || asOf.millisSince(leader.heardNanos()) > SILENCE_MILLIS;
    }

    /** Returns whether the leader is surely gone: it never was, resigned, or was this node before it started again. */
    private boolean over(Replica.Leader leader) {
        return leader == null || leader.record().resigned() || self.replaces(leader.record());
    }

    private void lead() {
        long end = dependencies.replica().next();
        Append claim =
                new Append(dependencies.topics().jobs(), List.of(JobRecords.leader(self)), new Append.AtEnd(end));
        AppendOutcome outcome = dependencies.log().append(claim, Clocks.in(CLAIM_MILLIS));
        LOG.infof("lead: step=claim at=%s outcome=%s", end, outcome);
        if (!(outcome instanceof AppendOutcome.Appended appended)) {
            return;
        }
        long epoch = appended.offset();
        LeaderLogWriter termLog =
                new LeaderLogWriter(dependencies.log(), dependencies.topics().jobs(), epoch);
        if (!termLog.bar() || !jobs.catchUp(Clocks.in(CLAIM_MILLIS))) {
            return;
        }
        Term next = new Term(self, epoch, termLog, dependencies);
        term = next;
        jobs.hurry(true);
        if (!stopped) {
            next.run();
        }
        jobs.hurry(false);
    }

    /** Gives up the lead, if it is here, and takes it no more. */
    void stop(long millis) {
        stopped = true;
        Term current = term;
        if (current != null) {
            current.resign(millis);
        }
    }
}
