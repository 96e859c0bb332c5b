package org.acaciaport.estimate;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Durations at nominal speed by queue and account, learned from runs.
 *
 * <p>Each account of a queue has a regression of the log duration on the log declared duration. It is shrunk towards
 * that of its queue, this towards that of all queues, and this towards the prior that declared durations are right
 * within a factor of 2. Residuals beyond 2.5 deviations are cut, so that a tail of long runs doesn't move the median.
 *
 * <p>At most {@value #MAX_PAIRS} pairs of account and queue and as many queues are kept; the least recently used is
 * dropped. Mutable and not thread-safe; confined to the thread of the pool.
 */
public final class RunTimes {
    /** Number of pairs of account and queue that are kept, and of queues. */
    static final int MAX_PAIRS = 1_000;

    /** Log duration assumed where neither a declared duration nor a run is known: 5 s. */
    private static final double UNKNOWN_LOG = Math.log(5);

    /** Deviation of the prior, a factor of 2. */
    private static final double PRIOR_DEVIATION = Math.log(2);

    /** Deviation of the prior without a declared duration, a factor of about 4.5. */
    private static final double UNKNOWN_DEVIATION = 1.5;

    /** Share of an observation below which it is left out. */
    private static final double MIN_SHARE = 0.01;

    private Regression all = new Regression();
    private final LruMap<String, Regression> queues = new LruMap<>(MAX_PAIRS);
    private final LruMap<Pair, Regression> pairs = new LruMap<>(MAX_PAIRS);

    /** An account in a queue. */
    record Pair(String queue, String account) {}

    /** A map that drops the entry that was used longest ago. */
    static final class LruMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;
        private static final float LOAD_FACTOR = 0.75f;
        private final int capacity;

        LruMap(int capacity) {
            super(16, LOAD_FACTOR, true);
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > capacity;
        }
    }

    /** The lines of the three levels for one piece of work, and its log declared duration. */
    private record Lines(double x, Line all, Line queue, Line pair) {
        Distribution distribution() {
            return new Distribution(pair.at(x), Math.sqrt(pair.variance()));
        }
    }

    /** Returns the distribution of the duration of {@code work} at nominal speed. */
    public Distribution expected(Work work) {
        return lines(work).distribution();
    }

    /**
     * Records that a run of {@code work} has completed.
     *
     * @param work what ran
     * @param nominalSeconds its duration at nominal speed; ignored unless finite and above 0
     */
    public void recordCompleted(Work work, double nominalSeconds) {
        if (Seconds.valid(nominalSeconds)) {
            record(work, Seconds.log(nominalSeconds), 1, 0);
        }
    }

    /**
     * Records that a run of {@code work} was stopped, failed or still runs after {@code atLeastSeconds}.
     *
     * <p>It counts as an observation at the value and with the share that give the slope and the curvature of the
     * likelihood of survival: nothing for a run stopped early, nearly a whole observation for one far above the median.
     */
    public void recordCensored(Work work, double atLeastSeconds) {
        if (!Seconds.valid(atLeastSeconds)) {
            return;
        }
        Distribution expected = expected(work);
        double z = (Seconds.log(atLeastSeconds) - expected.logMedian()) / expected.logDeviation();
        double hazard = Normal.hazard(z);
        double share = Math.clamp(hazard * (hazard - z), 0, 1);
        if (share >= MIN_SHARE) {
            record(work, expected.logMedian() + expected.logDeviation() * hazard / share, share, 0);
        }
    }

    /** Records a log duration with variance {@code noise} that counts as {@code share} of an observation. */
    void record(Work work, double logSeconds, double share, double noise) {
        if (!Double.isFinite(logSeconds) || !(share >= MIN_SHARE)) {
            return;
        }
        Lines lines = lines(work);
        double y = Seconds.clampLog(logSeconds);
        double part = Math.min(1, share);
        all.add(lines.x, y, part, noise, lines.all);
        queues.computeIfAbsent(work.queue(), name -> new Regression()).add(lines.x, y, part, noise, lines.queue);
        pairs.computeIfAbsent(new Pair(work.queue(), work.account()), pair -> new Regression())
                .add(lines.x, y, part, noise, lines.pair);
    }

    private Lines lines(Work work) {
        Regression queue = queues.get(requireNonNull(work).queue());
        Regression pair = pairs.get(new Pair(work.queue(), work.account()));
        boolean declared = work.declaredSeconds() > 0;
        double x = declared ? Seconds.log(work.declaredSeconds()) : usualDeclared(queue, pair);
        double deviation = declared ? PRIOR_DEVIATION : UNKNOWN_DEVIATION;
        Line top = all.fit(new Line(0, 0, 1, deviation * deviation));
        Line middle = queue == null ? top : queue.fit(top);
        return new Lines(x, top, middle, pair == null ? middle : pair.fit(middle));
    }

    /** Returns the log declared duration that stands for an unknown one: the mean of the closest level with runs. */
    private double usualDeclared(Regression queue, Regression pair) {
        if (pair != null && pair.weight() > 0) {
            return pair.meanX();
        }
        if (queue != null && queue.weight() > 0) {
            return queue.meanX();
        }
        return all.weight() > 0 ? all.meanX() : UNKNOWN_LOG;
    }

    Regression all() {
        return all;
    }

    void restoreAll(Regression regression) {
        all = regression;
    }

    Map<String, Regression> queues() {
        return queues;
    }

    Map<Pair, Regression> pairs() {
        return pairs;
    }
}
