package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.acaciaport.estimate.EstimatesSnapshot;
import org.acaciaport.estimate.EstimatesSnapshot.PairLine;
import org.acaciaport.estimate.EstimatesSnapshot.QueueLine;
import org.acaciaport.estimate.EstimatesSnapshot.TargetLine;
import org.junit.jupiter.api.Test;

/**
 * Tests that parts of a pool that are switched off leave no trace in its decisions, under a simulated load on targets
 * of unequal speed.
 */
final class SwitchedOffPoolTest {
    private static final int TARGETS = 16;
    private static final long LENGTH_MILLIS = 15_000;
    private static final Resources LOW_LIMIT = new Resources(0, 0, 8);
    private static final List<Long> MOMENTS = List.of(10_000L, 1_600L, 3_700L, 500L, 400L, 0L);

    private static PoolSimulation.Trace trace(PoolSimulation.Setup setup) {
        PoolSimulation.Deployment whole = Deployments.PLANNING;
        PoolSimulation.Deployment part = new PoolSimulation.Deployment(
                TARGETS,
                whole.rackSize(),
                whole.target(),
                whole.kinds(),
                whole.accounts(),
                whole.guaranteedFraction(),
                whole.speeds(),
                whole.swing());
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        return PoolSimulation.trace(part, LENGTH_MILLIS, List.of(), random, PoolSimulation.Gate.OPEN, setup);
    }

    /** Returns estimates that are far from the truth: slow targets as fast ones, tasks of 40 s. */
    private static EstimatesSnapshot wrongEstimates() {
        List<TargetLine> targets = new ArrayList<>();
        List<QueueLine> queues = new ArrayList<>();
        List<PairLine> pairs = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            targets.add(new TargetLine("t%03d".formatted(i), 1, 700 - 700 * (i % 3), 100));
        }
        for (WorkKind kind : Deployments.PLANNING.kinds()) {
            queues.add(new QueueLine(kind.name(), MOMENTS));
            for (int i = 0; i < Deployments.PLANNING.accounts(); i++) {
                pairs.add(new PairLine(kind.name(), "account" + i, MOMENTS));
            }
        }
        return new EstimatesSnapshot(EstimatesSnapshot.VERSION, targets, MOMENTS, queues, pairs);
    }

    private static void assertSameDecisions(PoolSimulation.Trace actual, PoolSimulation.Trace expected) {
        assertThat(actual.startMillis()).isEqualTo(expected.startMillis());
        assertThat(actual.doneMillis()).isEqualTo(expected.doneMillis());
        assertThat(actual.results()).isEqualTo(expected.results());
    }

    private static PoolSimulation.Trace plain() {
        return trace(
                new PoolSimulation.Setup(Resources.NONE, pool -> pool.use(PoolFeatures.NONE, new ClockReading(1, 0))));
    }

    /** Guards against decisions by estimates or limits after operators have switched them off to get rid of a fault. */
    @Test
    void withAllOffNeitherEstimatesNorLimitsChangeADecision() {
        PoolSimulation.Trace off = trace(new PoolSimulation.Setup(LOW_LIMIT, pool -> {
            pool.restoreEstimates(wrongEstimates(), new ClockReading(1, 0));
            pool.use(PoolFeatures.NONE, new ClockReading(1, 0));
        }));
        assertThat(off.doneMillis()).isNotEmpty();
        assertSameDecisions(off, plain());
    }

    /** Guards against a comparison that holds since the parts have no effect under this load. */
    @Test
    void eachPartChangesDecisionsUnderThisLoad() {
        PoolSimulation.Trace plain = plain();
        PoolFeatures[] single = {
            new PoolFeatures(true, false, false),
            new PoolFeatures(true, true, false),
            new PoolFeatures(false, false, true)
        };
        PoolSimulation.Trace former = plain;
        for (PoolFeatures features : single) {
            PoolSimulation.Trace trace = trace(new PoolSimulation.Setup(LOW_LIMIT, pool -> {
                pool.restoreEstimates(wrongEstimates(), new ClockReading(1, 0));
                pool.use(features, new ClockReading(1, 0));
            }));
            assertWithMessage("%s", features).that(trace.startMillis()).isNotEqualTo(plain.startMillis());
            assertWithMessage("%s", features).that(trace.startMillis()).isNotEqualTo(former.startMillis());
            former = trace;
        }
    }

    /** Guards against speeds that are used without learning, from which they come. */
    @Test
    void speedPlacementAloneChangesNothing() {
        assertSameDecisions(
                trace(new PoolSimulation.Setup(Resources.NONE, pool -> {
                    pool.restoreEstimates(wrongEstimates(), new ClockReading(1, 0));
                    pool.use(new PoolFeatures(false, true, false), new ClockReading(1, 0));
                })),
                plain());
    }
}
