package org.acaciaport.estimate;

/** The standard normal distribution, with relative accuracy of about 1e-7 in the upper tail. */
final class Normal {
    /** Deviations from which the asymptotic series of the hazard is exact to 1e-7. */
    private static final double SERIES_FROM = 20;

    private static final double LOG_ROOT_TWO_PI = 0.5 * Math.log(2 * Math.PI);

    /** Number of Newton steps; the search has converged after about six. */
    private static final int MAX_STEPS = 30;

    private static final double TOLERANCE = 1e-10;

    /** Coefficients of the Chebyshev fit of erfc, highest order first. */
    private static final double[] ERFC = {
        0.17087277,
        -0.82215223,
        1.48851587,
        -1.13520398,
        0.27886807,
        -0.18628806,
        0.09678418,
        0.37409196,
        1.00002368,
        -1.26551223
    };

    private Normal() {}

    /** Returns the logarithm of the probability of a value above {@code z}. */
    static double logSurvival(double z) {
        if (z < 0) {
            return Math.log1p(-Math.exp(logSurvival(-z)));
        }
        if (z > SERIES_FROM) {
            return -0.5 * z * z - LOG_ROOT_TWO_PI - Math.log(hazard(z));
        }
        double x = z / Math.sqrt(2);
        double t = 1 / (1 + 0.5 * x);
        double sum = 0;
        for (double coefficient : ERFC) {
            sum = sum * t + coefficient;
        }
        return Math.log(0.5 * t) - x * x + sum;
    }

    /** Returns the density at {@code z} relative to the probability of a value above it. */
    static double hazard(double z) {
        if (z > SERIES_FROM) {
            double square = z * z;
            return z / (1 - 1 / square + 3 / (square * square));
        }
        return Math.exp(-0.5 * z * z - LOG_ROOT_TWO_PI - logSurvival(z));
    }

    /** Returns the value at or above 0 whose logarithm of survival is {@code logSurvival}, at most -ln 2. */
    static double fromLogSurvival(double logSurvival) {
        double z = Math.sqrt(Math.max(0, -2 * (logSurvival + Math.log(2))));
        for (int i = 0; i < MAX_STEPS; i++) {
            double step = (logSurvival(z) - logSurvival) / hazard(z);
            z = Math.max(0, z + step);
            if (Math.abs(step) < TOLERANCE) {
                break;
            }
        }
        return z;
    }

    /** Returns the quantile of {@code probability}, which is between 0 and 1. */
    static double quantile(double probability) {
        return probability >= 0.5 ? fromLogSurvival(Math.log1p(-probability)) : -fromLogSurvival(Math.log(probability));
    }
}
