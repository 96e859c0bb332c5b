package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import org.acaciaport.estimate.EstimateAccuracy;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.EstimateSummary;
import org.acaciaport.pool.Pool;
import org.junit.jupiter.api.Test;

/** Tests what the metrics page and the log show of estimates. */
final class EstimateMetricsTest {
    private static final ClockReading START = new ClockReading(5, 5);

    /** Gauges that concern no queue, and gauges of each queue. */
    private static final int COMMON_GAUGES = 3;

    private static final int QUEUE_GAUGES = 4;

    private final MetricRegistry registry = new MetricRegistry();
    private final EstimateMetrics metrics = new EstimateMetrics(registry, START);

    /** Returns a summary whose declared durations are off by a factor of 2 and 4, and learned ones by 1.5 and 2. */
    private static EstimateSummary summary(int queues) {
        Map<String, EstimateAccuracy.Accuracy> all = new TreeMap<>();
        for (int i = 0; i < queues; i++) {
            EstimateAccuracy.Ratios declared = new EstimateAccuracy.Ratios(i, Math.log(2), Math.log(4));
            EstimateAccuracy.Ratios learned = new EstimateAccuracy.Ratios(i, Math.log(1.5), Math.log(2));
            all.put("q" + i, new EstimateAccuracy.Accuracy(declared, learned));
        }
        return new EstimateSummary(all, 12, 0.6, 1.6);
    }

    private double gauge(String name) {
        return (Double) registry.getGauges().get(name).getValue();
    }

    /** Guards against operators who cannot tell whether learning helps. */
    @Test
    void theGaugesShowRelativeErrorsAndSpeeds() {
        try (LogCapture capture = LogCapture.of(EstimateMetrics.class)) {
            metrics.report(summary(1));
            assertThat(capture.messagesContaining("estimates: known_targets=12 slowest=0.60 fastest=1.60"
                            + " q0=steps:0,declared:1.00/3.00,learned:0.50/1.00"))
                    .hasSize(1);
        }
        assertThat(gauge("estimates.known-targets")).isEqualTo(12.0);
        assertThat(gauge("estimates.slowest")).isEqualTo(0.6);
        assertThat(gauge("estimates.fastest")).isEqualTo(1.6);
        assertThat(gauge("estimates.queue.q0.declared-median")).isWithin(1e-9).of(1);
        assertThat(gauge("estimates.queue.q0.declared-p90")).isWithin(1e-9).of(3);
        assertThat(gauge("estimates.queue.q0.learned-median")).isWithin(1e-9).of(0.5);
        assertThat(gauge("estimates.queue.q0.learned-p90")).isWithin(1e-9).of(1);
    }

    /** Guards against a metrics page that grows with the number of queues. */
    @Test
    void onlyTheQueuesWithTheMostStepsAreShown() {
        metrics.report(summary(EstimateMetrics.MAX_QUEUES + 10));
        assertThat(registry.getGauges()).hasSize(COMMON_GAUGES + QUEUE_GAUGES * EstimateMetrics.MAX_QUEUES);
        assertThat(registry.getGauges()).doesNotContainKey("estimates.queue.q0.learned-median");
        metrics.report(summary(1));
        assertThat(registry.getGauges()).hasSize(COMMON_GAUGES + QUEUE_GAUGES);
        assertThat(registry.getGauges()).containsKey("estimates.queue.q0.learned-median");
    }

    /** Guards against a term that ends as the one before it left its gauges, and against values of a former leader. */
    @Test
    void theNextTermOfANodeShowsItsOwnValues() {
        metrics.report(summary(1));
        metrics.close();
        assertThat(registry.getGauges()).isEmpty();
        EstimateMetrics next = new EstimateMetrics(registry, START);
        next.report(new EstimateSummary(Map.of(), 0, 0, 0));
        assertThat(gauge("estimates.known-targets")).isEqualTo(0.0);
    }

    /** Guards against a line with each iteration of a term. */
    @Test
    void aLineIsWrittenAtMostOnceInAnInterval() {
        Pool pool = new Pool();
        ClockReading due = new ClockReading(START.nanosAfter(EstimateMetrics.INTERVAL_MILLIS), 5);
        try (LogCapture capture = LogCapture.of(EstimateMetrics.class)) {
            metrics.reportIfDue(pool, START);
            metrics.reportIfDue(pool, due);
            metrics.reportIfDue(pool, due);
            assertThat(capture.messagesContaining("estimates: ")).hasSize(1);
        }
    }
}
