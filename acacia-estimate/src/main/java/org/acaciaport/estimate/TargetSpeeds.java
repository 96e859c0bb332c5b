package org.acaciaport.estimate;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.Map;

/**
 * Speeds of targets relative to the nominal speed, learned from runs.
 *
 * <p>Every target has a log speed with mean and variance, which belongs to one incarnation; a later incarnation starts
 * from the prior, and observations of earlier ones are ignored. The variance grows slowly with time up to that of the
 * prior. Two surprising runs in a row in the same direction set it to the prior at once, so that a target that slows
 * down or recovers is followed within five runs, while a single odd run has little effect.
 *
 * <p>Durations and speeds are only known up to a common factor. After every {@value #CENTRE_EVERY} observations, all
 * log speeds are moved by a small part of their mean towards 0, which anchors that factor.
 *
 * <p>At most {@value #MAX_TARGETS} targets are kept; the least recently observed is dropped. Mutable and not
 * thread-safe; confined to the thread of the pool.
 */
public final class TargetSpeeds {
    /** Number of targets that are kept. */
    static final int MAX_TARGETS = 2_000;

    /** Standard deviation of the log speed of a target of which nothing is known. */
    static final double PRIOR_DEVIATION = 0.35;

    static final double PRIOR_VARIANCE = PRIOR_DEVIATION * PRIOR_DEVIATION;

    /** Largest absolute log speed, a factor of 20. */
    static final double MAX_LOG_SPEED = 3;

    /** Largest change of a log speed by one run, a factor of 1.5. */
    static final double MAX_CHANGE = Math.log(1.5);

    /** Deviations beyond which an observation is surprising. */
    static final double SURPRISE_DEVIATIONS = 2.5;

    /** Largest variance of a log speed that explains a surprise; a change is followed until it is nearly complete. */
    private static final double MAX_EXPLAINED_VARIANCE = 0.1 * 0.1;

    /** Deviations beyond which an observation confirms a surprising one before it. */
    private static final double CONTINUED_DEVIATIONS = 1.5;

    /** Number of surprising runs in a row after which a speed counts as changed. */
    private static final int CHANGED_AFTER = 2;

    /** Growth of the variance of a log speed, per second; a known speed becomes unknown in about an hour. */
    private static final double VARIANCE_PER_SECOND = 3e-5;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final int CENTRE_EVERY = 16;

    /** Number of targets at nominal speed that the centring assumes beside the known ones. */
    private static final double CENTRE_WEIGHT = 8;

    /** Observations per target in which the mean log speed falls by a factor of e. */
    private static final double CENTRE_OBSERVATIONS = 20;

    /** Largest deviation of the log speed of a target whose speed is well known. */
    private static final double KNOWN_DEVIATION = 0.15;

    /** Ratio of the variance of the errors to the one kept, which leaves out that errors of one step are correlated. */
    private static final double ERROR_RATIO = 2;

    /** Smallest number of well-known targets that are compared; they must also be a quarter of those observed. */
    private static final int MIN_KNOWN = 8;

    /** Ratio of speeds up to which they count as equal. */
    private static final double EQUAL_RATIO = 1.1;

    /** Distance of the 10th from the 90th percentile of a normal distribution, in deviations. */
    private static final double DECILES_DISTANCE = 2.563;

    private final RunTimes.LruMap<String, State> states = new RunTimes.LruMap<>(MAX_TARGETS);
    private int observations;

    /**
     * The speed of a target.
     *
     * @param factor median of the speed relative to the nominal speed
     * @param logDeviation standard deviation of the logarithm of the speed
     */
    public record Speed(double factor, double logDeviation) {
        static final Speed PRIOR = new Speed(1, PRIOR_DEVIATION);
    }

    /** The log speed of one incarnation of a target. */
    static final class State {
        final long incarnation;
        double mean;
        double variance = PRIOR_VARIANCE;

        /** Clock reading up to which the variance has grown; null before the first use after a restore. */
        private Long grownUntil;

        /** Number of surprising runs in a row; negative if they were faster than expected. */
        private int surprises;

        State(long incarnation) {
            this.incarnation = incarnation;
        }

        void growUntil(long nowNanos) {
            variance = varianceAt(nowNanos);
            grownUntil = nowNanos;
        }

        private double varianceAt(long nowNanos) {
            long nanos = grownUntil == null ? 0 : Math.max(0, nowNanos - grownUntil);
            return Math.min(PRIOR_VARIANCE, variance + VARIANCE_PER_SECOND * nanos / NANOS_PER_SECOND);
        }

        /**
         * Counts a run; returns whether it shows that the speed has changed, which is then uncertain.
         *
         * @param innovation observed less expected log duration
         * @param otherVariance variance of {@code innovation} without that of the speed
         */
        boolean countRun(double innovation, double otherVariance) {
            double explained = Math.min(variance, MAX_EXPLAINED_VARIANCE) + otherVariance;
            int direction = (int) Math.signum(innovation);
            boolean continued = direction * surprises > 0;
            double deviations = continued ? CONTINUED_DEVIATIONS : SURPRISE_DEVIATIONS;
            if (Math.abs(innovation) <= deviations * Math.sqrt(explained)) {
                direction = 0;
            }
            surprises = direction == 0 ? 0 : Integer.signum(surprises) == direction ? surprises + direction : direction;
            boolean changed = Math.abs(surprises) >= CHANGED_AFTER;
            variance = changed ? PRIOR_VARIANCE : variance;
            return changed;
        }

        void move(double change) {
            mean = Math.clamp(mean + change, -MAX_LOG_SPEED, MAX_LOG_SPEED);
        }
    }

    /** Returns the speed of {@code target}; the prior if this incarnation has not been observed. */
    public Speed speed(String target, long incarnation, long nowNanos) {
        State state = states.get(requireNonNull(target));
        return state == null || state.incarnation != incarnation
                ? Speed.PRIOR
                : new Speed(Math.exp(state.mean), Math.sqrt(state.varianceAt(nowNanos)));
    }

    /**
     * Records a speed that was measured with work of known duration.
     *
     * @param logSpeed logarithm of the nominal duration divided by the observed one
     * @param variance variance of {@code logSpeed}, above 0
     */
    public void observe(String target, long incarnation, double logSpeed, double variance, long nowNanos) {
        if (!Double.isFinite(logSpeed) || !Seconds.valid(variance)) {
            return;
        }
        State state = observed(target, incarnation, nowNanos);
        if (state == null) {
            return;
        }
        double innovation = logSpeed - state.mean;
        state.countRun(-innovation, variance);
        double limit = SURPRISE_DEVIATIONS * Math.sqrt(state.variance + variance);
        double gain = state.variance / (state.variance + variance);
        double change = gain * Math.clamp(innovation, -limit, limit);
        if (Math.abs(change) <= MAX_CHANGE) {
            state.variance *= 1 - gain;
        }
        state.move(Math.clamp(change, -MAX_CHANGE, MAX_CHANGE));
    }

    /** Returns the state to update with an observation; null if the observation is of an earlier incarnation. */
    State observed(String target, long incarnation, long nowNanos) {
        if (++observations % CENTRE_EVERY == 0) {
            centre();
        }
        State state = states.get(requireNonNull(target));
        if (state != null && state.incarnation > incarnation) {
            return null;
        }
        if (state == null || state.incarnation < incarnation) {
            state = new State(incarnation);
            states.put(target, state);
        }
        state.growUntil(nowNanos);
        return state;
    }

    private void centre() {
        if (states.isEmpty()) {
            return;
        }
        double weight = states.size() + CENTRE_WEIGHT;
        double sum = states.values().stream().mapToDouble(state -> state.mean).sum();
        double part = Math.min(1, CENTRE_EVERY / (weight * CENTRE_OBSERVATIONS));
        double shift = sum / weight * part;
        states.values().forEach(state -> state.move(-shift));
    }

    /**
     * Returns whether the known speeds differ by more than 10%.
     *
     * <p>Compares the 90th with the 10th percentile of the well-known log speeds, after the spread is taken off that
     * their errors alone explain.
     */
    public boolean speedsDiffer() {
        State[] known = states.values().stream()
                .filter(state -> state.variance <= KNOWN_DEVIATION * KNOWN_DEVIATION)
                .toArray(State[]::new);
        if (known.length < Math.max(MIN_KNOWN, states.size() / 4)) {
            return false;
        }
        double[] means =
                Arrays.stream(known).mapToDouble(state -> state.mean).sorted().toArray();
        double noise = Arrays.stream(known).mapToDouble(state -> state.variance).sum() / known.length;
        int edge = known.length / 10;
        double spread = means[known.length - 1 - edge] - means[edge];
        double tolerated = Math.log(EQUAL_RATIO);
        return spread * spread > DECILES_DISTANCE * DECILES_DISTANCE * ERROR_RATIO * noise + tolerated * tolerated;
    }

    /** Forgets {@code target}, which is no longer registered. */
    public void forget(String target) {
        states.remove(target);
    }

    Map<String, State> states() {
        return states;
    }
}
