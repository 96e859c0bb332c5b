package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests how well admission control foresees which requests are of no use, under simulated loads. */
final class AdmissionAccuracyTest {
    private static final int MISSED_FACTOR = 3;

    /** Wait from which the expectation is compared with it, in milliseconds. */
    private static final long COMPARED_WAIT_MILLIS = 1_000;

    /** Largest loss of value, as for the earlier deployments. */
    private static final double MAX_LOSS = 0.03;

    /** Held in a field, since a logger that is garbage-collected loses its level. */
    private static final Logger LOG = Logger.getLogger("org.acaciaport.pool");

    @BeforeAll
    static void silence() {
        LOG.setLevel(Level.OFF);
    }

    @AfterAll
    static void restoreLevel() {
        LOG.setLevel(null);
    }

    /**
     * Outcomes of requests that are all accepted, by whether the policy would refuse them, and the median ratio of the
     * expected wait to the one observed.
     */
    private record Outcomes(
            int refusedInTime,
            int refusedLate,
            int refusedOfNoUse,
            int acceptedOfNoUse,
            int accepted,
            double medianWaitRatio,
            int compared) {}

    private static Outcomes outcomes(PoolSimulation.Trace trace, AdmissionGate gate) {
        int[] counts = new int[5];
        List<Double> ratios = new ArrayList<>();
        for (Map.Entry<String, PoolSimulation.Submission> entry :
                trace.submissions().entrySet()) {
            Job job = entry.getValue().sample().job();
            long took = trace.doneMillis().getOrDefault(job.id(), Long.MAX_VALUE / 2) - job.acceptedMillis();
            long objective = objectiveMillis(entry.getValue());
            boolean ofNoUse = took > MISSED_FACTOR * objective;
            if (!gate.refused.containsKey(job.id())) {
                counts[ofNoUse ? 3 : 4]++;
            } else {
                counts[ofNoUse ? 2 : took > objective ? 1 : 0]++;
            }
            long waited = trace.startMillis().getOrDefault(job.id(), job.acceptedMillis()) - job.acceptedMillis();
            if (waited > COMPARED_WAIT_MILLIS) {
                ratios.add((double) gate.expectedWaits.get(job.id()) / waited);
            }
        }
        Collections.sort(ratios);
        double median = ratios.isEmpty() ? 1 : ratios.get(ratios.size() / 2);
        return new Outcomes(counts[0], counts[1], counts[2], counts[3], counts[4], median, ratios.size());
    }

    private static long objectiveMillis(PoolSimulation.Submission submission) {
        Job.Terms terms = submission.kind().terms();
        double seconds = terms.stretch() * submission.sample().criticalPathSeconds();
        return (long) (seconds * 1_000) + terms.objectiveMillis();
    }

    /** Returns {@code deployment} with fewer targets, so that its load is a multiple of the capacity throughout. */
    private static PoolSimulation.Deployment onTargets(PoolSimulation.Deployment deployment, int targets) {
        return new PoolSimulation.Deployment(
                targets,
                deployment.rackSize(),
                deployment.target(),
                deployment.kinds(),
                deployment.accounts(),
                deployment.guaranteedFraction(),
                deployment.speeds(),
                deployment.swing());
    }

    private static PoolSimulation.Trace trace(
            PoolSimulation.Deployment deployment,
            long lengthMillis,
            List<PoolSimulation.Burst> bursts,
            AdmissionGate gate) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        return PoolSimulation.trace(deployment, lengthMillis, bursts, random, gate);
    }

    private static String nameOf(PoolSimulation.Deployment deployment) {
        return deployment.kinds().get(0).name();
    }

    /** Under bursts of over twice the usual load for 6 s, guards against refusals of what the pool serves in time. */
    @Test
    void burstsOfSecondsRefuseNothingThatIsInTime() {
        List<PoolSimulation.Burst> bursts = new ArrayList<>();
        for (int kind = 0; kind < Deployments.PLANNING.kinds().size(); kind++) {
            bursts.add(new PoolSimulation.Burst(kind, 1_000, 7_000, 2.2));
        }
        for (PoolSimulation.Deployment deployment : List.of(Deployments.PLANNING, Deployments.AUCTIONS)) {
            AdmissionGate shadow = new AdmissionGate(false);
            Outcomes outcomes = outcomes(trace(deployment, 9_000, bursts, shadow), shadow);
            System.out.printf("burst %s: %s%n", nameOf(deployment), outcomes);
            assertThat(outcomes.refusedInTime()).isEqualTo(0);
        }
    }

    /**
     * Under a load of many times the capacity, guards against refusals of requests that would be in time or late, and
     * against a policy that refuses nothing or loses value. Waits that end after the simulation count as of no use.
     */
    @Test
    void underLastingOverloadWhatIsRefusedWouldHaveBeenOfNoUse() {
        for (PoolSimulation.Deployment full : List.of(Deployments.PLANNING, Deployments.AUCTIONS)) {
            PoolSimulation.Deployment deployment = onTargets(full, 16);
            AdmissionGate shadow = new AdmissionGate(false);
            PoolSimulation.Trace open = trace(deployment, 30_000, List.of(), shadow);
            Outcomes outcomes = outcomes(open, shadow);
            AdmissionGate enforced = new AdmissionGate(true);
            PoolSimulation.Trace closed = trace(deployment, 30_000, List.of(), enforced);
            System.out.printf(
                    "overload %s: %s, value without refusals %.3f, with %d refused requests %.3f%n",
                    nameOf(deployment),
                    outcomes,
                    open.results().valueFraction(),
                    enforced.refused.size(),
                    closed.results().valueFraction());
            assertThat(outcomes.refusedOfNoUse()).isAtLeast(5);
            assertThat(outcomes.refusedInTime() + outcomes.refusedLate()).isEqualTo(0);
            assertThat(closed.results().valueFraction())
                    .isAtLeast(open.results().valueFraction() - MAX_LOSS);
        }
    }
}
