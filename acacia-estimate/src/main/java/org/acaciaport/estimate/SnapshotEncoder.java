package org.acaciaport.estimate;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.acaciaport.estimate.EstimatesSnapshot.PairLine;
import org.acaciaport.estimate.EstimatesSnapshot.QueueLine;
import org.acaciaport.estimate.EstimatesSnapshot.TargetLine;

/** Builds a snapshot within its bound on bytes. Mutable; used for one snapshot. */
final class SnapshotEncoder {
    /** Largest size of a snapshot as MessagePack, in bytes. */
    static final int MAX_BYTES = 64 * 1024;

    /** Part that targets may take, in bytes; the rest is for queues and accounts. */
    private static final int MAX_TARGET_BYTES = 24 * 1024;

    /** Part that targets and queues may take together, in bytes. */
    private static final int MAX_QUEUE_BYTES = 40 * 1024;

    /** Bytes of the outer map, the names of its fields, the heads of its lists and the regression over all. */
    private static final int OUTER_BYTES = 64;

    /** Bytes of a list of moments: its head and six numbers of at most three bytes. */
    private static final int MOMENTS_BYTES = 1 + 6 * 3;

    /** Bytes of the name of a field of one letter. */
    private static final int FIELD_BYTES = 2;

    /** Bytes of the head of a string of any length up to 65,535 bytes. */
    private static final int STRING_HEAD_BYTES = 3;

    private static final int MAX_LONG_BYTES = 9;
    private static final int SHORT_BYTES = 3;

    static final double WEIGHT_SCALE = 100;
    static final double SCALE = 1_000;
    static final double DEVIATION_SCALE = 10_000;

    private int bytes = OUTER_BYTES;

    EstimatesSnapshot encode(RunTimes runTimes, TargetSpeeds speeds) {
        List<TargetLine> targets = new ArrayList<>();
        for (Map.Entry<String, TargetSpeeds.State> each : newestFirst(speeds.states())) {
            TargetSpeeds.State state = each.getValue();
            if (!take(1 + 4 * FIELD_BYTES + size(each.getKey()) + MAX_LONG_BYTES + 2 * SHORT_BYTES, MAX_TARGET_BYTES)) {
                break;
            }
            long deviation = Math.max(1, Math.round(Math.sqrt(state.variance) * DEVIATION_SCALE));
            targets.add(new TargetLine(each.getKey(), state.incarnation, Math.round(state.mean * SCALE), deviation));
        }
        List<QueueLine> queues = new ArrayList<>();
        for (Map.Entry<String, Regression> each : newestFirst(runTimes.queues())) {
            if (!take(1 + 2 * FIELD_BYTES + size(each.getKey()) + MOMENTS_BYTES, MAX_QUEUE_BYTES)) {
                break;
            }
            queues.add(new QueueLine(each.getKey(), moments(each.getValue())));
        }
        List<PairLine> pairs = new ArrayList<>();
        for (Map.Entry<RunTimes.Pair, Regression> each : newestFirst(runTimes.pairs())) {
            RunTimes.Pair pair = each.getKey();
            if (!take(1 + 3 * FIELD_BYTES + size(pair.queue()) + size(pair.account()) + MOMENTS_BYTES, MAX_BYTES)) {
                break;
            }
            pairs.add(new PairLine(pair.queue(), pair.account(), moments(each.getValue())));
        }
        return new EstimatesSnapshot(
                EstimatesSnapshot.VERSION,
                List.copyOf(targets),
                moments(runTimes.all()),
                List.copyOf(queues),
                List.copyOf(pairs));
    }

    private static <K, V> List<Map.Entry<K, V>> newestFirst(Map<K, V> map) {
        List<Map.Entry<K, V>> entries = new ArrayList<>(map.entrySet());
        Collections.reverse(entries);
        return entries;
    }

    private boolean take(int more, int limit) {
        if (bytes + more > limit) {
            return false;
        }
        bytes += more;
        return true;
    }

    private static int size(String text) {
        return STRING_HEAD_BYTES + text.getBytes(StandardCharsets.UTF_8).length;
    }

    private static List<Long> moments(Regression regression) {
        Regression.Moments moments = regression.moments();
        return List.of(
                Math.round(moments.weight() * WEIGHT_SCALE),
                Math.round(moments.meanX() * SCALE),
                Math.round(moments.meanY() * SCALE),
                Math.round(moments.deviationX() * SCALE),
                Math.round(moments.deviationY() * SCALE),
                Math.round(moments.correlation() * SCALE));
    }
}
