package org.acaciaport.pool;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The value that the requests of a simulation earned. A request in time earns its value, a late one its late value, and
 * a missed one nothing; requests with more work weigh more.
 *
 * <p>Mutable and not thread-safe; confined to {@link #of}.
 */
final class LoadScore {
    /** Multiple of its objective after which a request counts as missed. */
    private static final int MISSED_FACTOR = 3;

    /** Part of the weight of a request that does not depend on its work. */
    private static final double FIXED_WEIGHT = 0.3;

    /** Part of the weight of a request with the mean work of its kind that is proportional to its work. */
    private static final double WORK_WEIGHT = 0.7;

    /** Maximum work of a request that counts for its weight, as a multiple of the mean work of its kind. */
    private static final double MAX_RELATIVE_WORK = 4;

    /** Work of an accelerator, as a multiple of the work of a core. */
    private static final int CORES_PER_ACCELERATOR = 8;

    private static final int MILLIS_PER_SECOND = 1_000;

    /** Duration of a request that did not complete, in milliseconds. */
    private static final long NEVER_MILLIS = Long.MAX_VALUE / 2;

    private final Map<String, KindSum> sums = new LinkedHashMap<>();

    private LoadScore() {}

    /** The requests of one kind and their values. */
    private static final class KindSum {
        double maxValue;
        double earnedValue;
        int inTime;
        int late;
        int missed;

        PoolSimulation.KindResult result() {
            return new PoolSimulation.KindResult(earnedValue / maxValue, inTime, late, missed);
        }
    }

    /**
     * Returns the results of a simulation.
     *
     * @param doneMillis when each completed job ended, in milliseconds
     * @param wastedCoreSeconds work lost by stops, in core-seconds
     */
    static PoolSimulation.Results of(
            Collection<PoolSimulation.Submission> submissions, Map<String, Long> doneMillis, double wastedCoreSeconds) {
        LoadScore score = new LoadScore();
        for (PoolSimulation.Submission submission : submissions) {
            Job job = submission.sample().job();
            score.add(submission, doneMillis.getOrDefault(job.id(), NEVER_MILLIS) - job.acceptedMillis());
        }
        return score.results(wastedCoreSeconds);
    }

    private void add(PoolSimulation.Submission submission, long tookMillis) {
        WorkKind kind = submission.kind();
        double relativeWork = workCoreSeconds(submission.sample()) / meanWorkCoreSeconds(kind);
        double weight = FIXED_WEIGHT + WORK_WEIGHT * Math.min(MAX_RELATIVE_WORK, relativeWork);
        double objectiveMillis = kind.terms().stretch() * submission.sample().criticalPathSeconds() * MILLIS_PER_SECOND
                + kind.terms().objectiveMillis();
        KindSum sum = sums.computeIfAbsent(kind.name(), name -> new KindSum());
        sum.maxValue += weight * kind.value();
        if (tookMillis > MISSED_FACTOR * objectiveMillis) {
            sum.missed++;
        } else if (tookMillis > objectiveMillis) {
            sum.late++;
            sum.earnedValue += weight * kind.lateValue();
        } else {
            sum.inTime++;
            sum.earnedValue += weight * kind.value();
        }
    }

    private PoolSimulation.Results results(double wastedCoreSeconds) {
        Map<String, PoolSimulation.KindResult> kinds = new LinkedHashMap<>();
        double maxValue = 0;
        double earnedValue = 0;
        for (Map.Entry<String, KindSum> entry : sums.entrySet()) {
            KindSum sum = entry.getValue();
            kinds.put(entry.getKey(), sum.result());
            maxValue += sum.maxValue;
            earnedValue += sum.earnedValue;
        }
        return new PoolSimulation.Results(kinds, earnedValue / maxValue, wastedCoreSeconds);
    }

    private static double workCoreSeconds(WorkKind.Sample sample) {
        double sum = 0;
        for (int i = 0; i < sample.taskSeconds().length; i++) {
            Step step = sample.job().steps().get(i);
            sum += step.count() * step.demand().coreEquivalents() * sample.taskSeconds()[i];
        }
        return sum;
    }

    private static double meanWorkCoreSeconds(WorkKind kind) {
        double accelerators = 0;
        for (int each : kind.accelerators()) {
            accelerators += (double) each / kind.accelerators().length;
        }
        return kind.meanSteps()
                * kind.meanTasks()
                * (kind.cores() + CORES_PER_ACCELERATOR * accelerators)
                * kind.meanSeconds();
    }
}
