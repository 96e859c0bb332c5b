package org.acaciaport.estimate;

/**
 * A weighted linear regression with exponential forgetting, shrunk towards a parent line.
 *
 * <p>Keeps the total weight, the means and the centred second moments, which stay accurate where sums of squares would
 * cancel. Mutable and not thread-safe.
 */
final class Regression {
    /** Weight of later observations after which that of an earlier one has halved. */
    private static final double HALF_LIFE = 100;

    /** Number of observations that the parent line counts for. */
    private static final double PARENT_WEIGHT = 4;

    /** Variance of the log declared durations of the observations that the parent line stands for. */
    private static final double PARENT_SPREAD = 0.5;

    /** Smallest variance of a log duration; durations are measured to a few percent. */
    private static final double MIN_VARIANCE = 0.05 * 0.05;

    /** Deviations beyond which a residual counts as an outlier and is cut. */
    private static final double OUTLIER_DEVIATIONS = 2.5;

    /** Residual that is never cut, so that a fit with a very small deviation can still move. */
    private static final double MIN_OUTLIER = 0.5;

    private double weight;
    private double meanX;
    private double meanY;
    private double xx;
    private double xy;
    private double yy;

    /** The moments of a regression: total weight, means, standard deviations, correlation. */
    record Moments(
            double weight, double meanX, double meanY, double deviationX, double deviationY, double correlation) {}

    static Regression of(Moments moments) {
        Regression regression = new Regression();
        regression.weight = moments.weight;
        regression.meanX = moments.meanX;
        regression.meanY = moments.meanY;
        regression.xx = moments.weight * moments.deviationX * moments.deviationX;
        regression.yy = moments.weight * moments.deviationY * moments.deviationY;
        regression.xy = moments.weight * moments.deviationX * moments.deviationY * moments.correlation;
        return regression;
    }

    Moments moments() {
        double product = Math.sqrt(xx * yy);
        return new Moments(
                weight,
                meanX,
                meanY,
                weight > 0 ? Math.sqrt(xx / weight) : 0,
                weight > 0 ? Math.sqrt(yy / weight) : 0,
                product > 0 ? Math.clamp(xy / product, -1, 1) : 0);
    }

    double weight() {
        return weight;
    }

    double meanX() {
        return meanX;
    }

    /** Returns the line through the observations, with {@code parent} as observations of its own. */
    Line fit(Line parent) {
        if (weight <= 0) {
            return parent;
        }
        double total = weight + PARENT_WEIGHT;
        double spread = PARENT_WEIGHT * PARENT_SPREAD;
        double slope = (xy + spread * parent.slope()) / (xx + spread);
        double value = (weight * meanY + PARENT_WEIGHT * parent.at(meanX)) / total;
        double shift = meanY - value;
        double residuals = Math.max(0, yy - 2 * slope * xy + slope * slope * xx) + weight * shift * shift;
        double variance = (residuals + PARENT_WEIGHT * parent.variance()) / total;
        return new Line(meanX, value, slope, Math.max(MIN_VARIANCE, variance));
    }

    /**
     * Adds an observation.
     *
     * @param x log declared duration
     * @param y log duration
     * @param share part of a whole observation that it counts for
     * @param noise variance of the error of {@code y}, which is no part of the variance of the durations
     * @param before the line that predicted it
     */
    void add(double x, double y, double share, double noise, Line before) {
        double limit = Math.max(MIN_OUTLIER, OUTLIER_DEVIATIONS * Math.sqrt(before.variance()));
        double predicted = before.at(x);
        addExact(x, predicted + Math.clamp(y - predicted, -limit, limit), share);
        yy = Math.max(0, yy - share * Math.min(noise, before.variance()));
    }

    private void addExact(double x, double y, double share) {
        double kept = Math.pow(0.5, share / HALF_LIFE);
        weight = weight * kept + share;
        xx *= kept;
        xy *= kept;
        yy *= kept;
        double dx = x - meanX;
        double dy = y - meanY;
        double gain = share / weight;
        meanX += gain * dx;
        meanY += gain * dy;
        double rest = share * (1 - gain);
        xx += rest * dx * dx;
        xy += rest * dx * dy;
        yy += rest * dy * dy;
    }
}
