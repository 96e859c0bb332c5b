package org.acaciaport.estimate;

/**
 * A straight line with the variance of what it predicts: log duration by log declared duration.
 *
 * @param centre log declared duration at which the line has {@code value}
 * @param value log duration at {@code centre}
 * @param slope change of the log duration with the log declared duration
 * @param variance variance of a log duration around the line
 */
record Line(double centre, double value, double slope, double variance) {
    double at(double x) {
        return value + slope * (x - centre);
    }
}
