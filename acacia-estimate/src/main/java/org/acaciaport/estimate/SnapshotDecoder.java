package org.acaciaport.estimate;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.acaciaport.estimate.EstimatesSnapshot.PairLine;
import org.acaciaport.estimate.EstimatesSnapshot.QueueLine;
import org.acaciaport.estimate.EstimatesSnapshot.TargetLine;

/** Takes over the valid lines of a snapshot and counts the others. Mutable; used for one snapshot. */
final class SnapshotDecoder {
    /** Longest name that is taken over, in characters. */
    private static final int MAX_NAME = 1_000;

    private static final int MOMENTS = 6;

    /** Largest total weight of a regression, in hundredths; forgetting keeps it below 145 observations. */
    private static final long MAX_WEIGHT = 15_000;

    private static final long MIN_LOG = (long) Math.floor(Seconds.MIN_LOG * SnapshotEncoder.SCALE);
    private static final long MAX_LOG = (long) Math.ceil(Seconds.MAX_LOG * SnapshotEncoder.SCALE);
    private static final long MAX_LOG_SPEED = (long) (TargetSpeeds.MAX_LOG_SPEED * SnapshotEncoder.SCALE);
    private static final long MAX_SPEED_DEVIATION =
            (long) (TargetSpeeds.PRIOR_DEVIATION * SnapshotEncoder.DEVIATION_SCALE);

    private final RunTimes runTimes;
    private final TargetSpeeds speeds;
    private int dropped;

    SnapshotDecoder(RunTimes runTimes, TargetSpeeds speeds) {
        this.runTimes = runTimes;
        this.speeds = speeds;
    }

    /** Adds the lines of {@code snapshot} to empty estimates; returns the number of lines that were dropped. */
    int decode(EstimatesSnapshot snapshot) {
        if (snapshot == null || snapshot.version() != EstimatesSnapshot.VERSION) {
            return 1;
        }
        each(snapshot.t(), TargetSpeeds.MAX_TARGETS, this::target);
        moments(snapshot.all()).ifPresentOrElse(runTimes::restoreAll, () -> dropped++);
        each(snapshot.q(), RunTimes.MAX_PAIRS, this::queue);
        each(snapshot.p(), RunTimes.MAX_PAIRS, this::pair);
        return dropped;
    }

    /** Takes over {@code lines} from the least to the most recently used. */
    private <T> void each(List<T> lines, int limit, Predicate<T> takeOver) {
        if (lines == null) {
            dropped++;
            return;
        }
        int kept = Math.min(limit, lines.size());
        dropped += lines.size() - kept;
        for (T line : lines.subList(0, kept).reversed()) {
            if (line == null || !takeOver.test(line)) {
                dropped++;
            }
        }
    }

    private boolean target(TargetLine line) {
        if (!name(line.n()) || !within(line.s(), -MAX_LOG_SPEED, MAX_LOG_SPEED)) {
            return false;
        }
        if (!within(line.d(), 1, MAX_SPEED_DEVIATION)) {
            return false;
        }
        TargetSpeeds.State state = new TargetSpeeds.State(line.i());
        state.mean = line.s() / SnapshotEncoder.SCALE;
        state.variance = Math.pow(line.d() / SnapshotEncoder.DEVIATION_SCALE, 2);
        speeds.states().put(line.n(), state);
        return true;
    }

    private boolean queue(QueueLine line) {
        Optional<Regression> regression = moments(line.m());
        if (!name(line.q()) || regression.isEmpty()) {
            return false;
        }
        runTimes.queues().put(line.q(), regression.get());
        return true;
    }

    private boolean pair(PairLine line) {
        Optional<Regression> regression = moments(line.m());
        if (!name(line.q()) || !name(line.a()) || regression.isEmpty()) {
            return false;
        }
        runTimes.pairs().put(new RunTimes.Pair(line.q(), line.a()), regression.get());
        return true;
    }

    private static boolean name(String name) {
        return name != null && name.length() <= MAX_NAME;
    }

    private static boolean within(long value, long min, long max) {
        return value >= min && value <= max;
    }

    private static Optional<Regression> moments(List<Long> values) {
        if (values == null || values.size() != MOMENTS || values.stream().anyMatch(value -> value == null)) {
            return Optional.empty();
        }
        boolean valid = within(values.get(0), 0, MAX_WEIGHT)
                && within(values.get(1), MIN_LOG, MAX_LOG)
                && within(values.get(2), MIN_LOG, MAX_LOG)
                && within(values.get(3), 0, MAX_LOG - MIN_LOG)
                && within(values.get(4), 0, MAX_LOG - MIN_LOG)
                && within(values.get(5), -(long) SnapshotEncoder.SCALE, (long) SnapshotEncoder.SCALE);
        if (!valid) {
            return Optional.empty();
        }
        return Optional.of(Regression.of(new Regression.Moments(
                values.get(0) / SnapshotEncoder.WEIGHT_SCALE,
                values.get(1) / SnapshotEncoder.SCALE,
                values.get(2) / SnapshotEncoder.SCALE,
                values.get(3) / SnapshotEncoder.SCALE,
                values.get(4) / SnapshotEncoder.SCALE,
                values.get(5) / SnapshotEncoder.SCALE)));
    }
}
