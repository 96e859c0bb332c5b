package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendLimits;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedRecord;

/**
 * Appends the records of callers' requests to the log, and tells what that means to the caller.
 *
 * <p>Thread-safe.
 */
final class JobAppender {
    /** Delay before an append of unknown outcome is retried, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 80;

    private final String topic;
    private final AppendLimits limits;
    private final FailoverLog log;
    private final MetricRegistry metrics;

    JobAppender(Term.Dependencies dependencies) {
        topic = dependencies.topics().jobs();
        limits = dependencies.limits();
        log = dependencies.log();
        metrics = dependencies.metrics();
    }

    /**
     * Makes a record durable, retrying while the outcome is unknown. Stops early if the log becomes unreachable, so
     * that the caller has time left to try another node.
     */
    JobService.Answer append(KeyedRecord record, long deadline) {
        if (!limits.fits(record)) {
            return new JobService.Answer.TooLarge("the job takes " + record.sizeBytes()
                    + " bytes in the log, which has room for " + limits.recordBytes() + "; use fewer steps");
        }
        long appendDeadline = deadline - JobService.ANSWER_RESERVE_MILLIS * Clocks.NANOS_PER_MILLI;
        if (!log.isReachable()) {
            return new JobService.Answer.Refused("the log cannot be reached now");
        }
        Append append = new Append(topic, List.of(record), new Append.Always());
        AppendOutcome outcome = metrics.timer("append").timeSupplier(() -> log.append(append, appendDeadline));
        while (outcome instanceof AppendOutcome.Unknown
                && log.isReachable()
                && Clocks.millisUntil(appendDeadline) > RETRY_DELAY_MILLIS
                && Clocks.sleep(RETRY_DELAY_MILLIS)) {
            AppendOutcome retried = log.append(append, appendDeadline);
            // A refused retry leaves the outcome of the earlier attempt unknown.
            outcome = retried instanceof AppendOutcome.Refused ? outcome : retried;
        }
        return switch (outcome) {
            case AppendOutcome.Appended appended -> new JobService.Answer.Accepted();
            case AppendOutcome.Refused refused -> new JobService.Answer.Refused(refused.reason());
            case AppendOutcome.Rejected rejected -> new JobService.Answer.TooLarge(rejected.reason());
            case AppendOutcome.Unknown unknown -> new JobService.Answer.Undetermined(unknown.reason());
            case AppendOutcome.NotAtEnd other -> new JobService.Answer.Undetermined("unexpected condition");
            case AppendOutcome.OutOfSequence other -> new JobService.Answer.Undetermined("unexpected sequence");
            case AppendOutcome.Deposed deposed -> new JobService.Answer.Undetermined("unexpected epoch");
        };
    }
}
