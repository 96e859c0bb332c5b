package org.acaciaport.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.UUID;
import org.acaciaport.directory.Directory;
import org.acaciaport.directory.Verdict;
import org.acaciaport.http.HttpPlatform;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.platform.PlatformLog;
import org.acaciaport.program.ExitCode;
import org.acaciaport.record.LogEntry;
import org.acaciaport.record.LogRecord;

/**
 * Appends operators' configuration changes to the platform's log, and determines whether they were applied and when all
 * schedulers hold them.
 *
 * <p>Not thread-safe.
 */
final class Publisher {
    private static final int MAX_ENTRIES_PER_READ = 1_000;
    private static final int MAX_APPEND_ATTEMPTS = 3;

    /** Longest time for all schedulers to hold a new revision. */
    private static final long ACTIVATION_TIMEOUT_MILLIS = 10_000;

    private static final long POLL_INTERVAL_MILLIS = 200;

    private final HttpPlatform platform;
    private final GatewayClient gateways;
    private final CtlSettings settings;

    /** Identifies this process on the log; unique, so that its record can be told from those of other runs. */
    private final String writer;

    private Directory directory = Directory.EMPTY;

    Publisher(HttpPlatform platform, GatewayClient gateways, CtlSettings settings) {
        this.platform = platform;
        this.gateways = gateways;
        this.settings = settings;
        writer = "acaciactl/" + settings.operator() + "/" + UUID.randomUUID();
    }

    /**
     * Reads the log to its end and returns the resulting state.
     *
     * @throws CtlException if the log does not answer
     */
    Directory readDirectory() throws CtlException {
        try {
            replayLog();
            return directory;
        } catch (PlatformException e) {
            throw logUnavailable(e);
        }
    }

    /**
     * Appends {@code record} and returns the revision that it produced.
     *
     * @throws CtlException if the record was not applied, or the log does not answer
     */
    long publish(LogRecord record) throws CtlException {
        try {
            append(record);
            Verdict verdict = replayLog();
            if (verdict instanceof Verdict.Applied) {
                return directory.active().revision();
            }
            String reason = verdict instanceof Verdict.Void notApplied
                    ? notApplied.reason()
                    : "the log did not show the record";
            throw new CtlException(ExitCode.NEGATIVE, "not in force: " + reason);
        } catch (PlatformException e) {
            throw logUnavailable(e);
        }
    }

    /**
     * Appends {@code record}, retrying while it is uncertain whether the log has it. The retries carry the same writer
     * and sequence, so that at most one copy is applied.
     */
    private void append(LogRecord record) throws PlatformException {
        for (int attempt = 1; ; attempt++) {
            try {
                platform.append(writer, 1, List.of(record));
                return;
            } catch (PlatformException e) {
                if (e.kind() != PlatformException.Kind.UNCERTAIN || attempt == MAX_APPEND_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    /** Reads to the end of the log; returns the verdict on this process's record, or null if it was not read. */
    private Verdict replayLog() throws PlatformException {
        Verdict ownVerdict = null;
        while (true) {
            PlatformLog.Page page = platform.read(directory.nextOffset(), MAX_ENTRIES_PER_READ, 0);
            for (LogEntry entry : page.entries()) {
                Directory.ApplyResult step = directory.apply(entry);
                directory = step.directory();
                if (entry.writer().equals(writer) && ownVerdict == null) {
                    ownVerdict = step.verdict();
                }
            }
            if (directory.nextOffset() >= page.end()) {
                return ownVerdict;
            }
        }
    }

    /**
     * Waits until every scheduler that answers the gateway holds {@code revision}.
     *
     * @return a phrase for the user that says where the revision is in force
     * @throws CtlException if that takes too long, or no gateway answers
     */
    String awaitActivation(long revision) throws CtlException {
        long deadlineNanos = System.nanoTime() + ACTIVATION_TIMEOUT_MILLIS * 1_000_000;
        int upToDate = 0;
        int answering = 0;
        while (System.nanoTime() < deadlineNanos) {
            JsonNode schedulers = gateways.getFromOperatorApi("/v1/schedulers").get("schedulers");
            upToDate = 0;
            answering = 0;
            for (JsonNode scheduler : schedulers) {
                boolean answers = scheduler.get("answers").asBoolean();
                answering += answers ? 1 : 0;
                upToDate += answers && scheduler.get("revision").asLong() >= revision ? 1 : 0;
            }
            if (answering > 0 && upToDate == answering) {
                return "in force on all " + answering + " schedulers";
            }
            sleepUntilNextPoll();
        }
        throw new CtlException(
                ExitCode.UNAVAILABLE,
                "revision " + revision + " is accepted but in force on only " + upToDate + " of " + answering
                        + " schedulers; see 'acaciactl dc list' and the schedulers' logs");
    }

    private static void sleepUntilNextPoll() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static CtlException logUnavailable(PlatformException e) {
        return new CtlException(ExitCode.UNAVAILABLE, "the platform log did not answer: " + e.getMessage());
    }
}
