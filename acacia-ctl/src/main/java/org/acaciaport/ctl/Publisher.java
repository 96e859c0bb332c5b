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
 * Puts operators' changes on the log, finds out whether they took effect, and waits until they are in force.
 *
 * <p>Not thread-safe.
 */
final class Publisher {
    private static final int READ_MOST = 1_000;
    private static final int APPEND_TRIES = 3;
    private static final long IN_FORCE_MILLIS = 10_000;
    private static final long LOOK_MILLIS = 200;

    private final HttpPlatform platform;
    private final Gateways gateways;
    private final CtlSettings settings;
    private final String writer;
    private Directory directory = Directory.EMPTY;

    Publisher(HttpPlatform platform, Gateways gateways, CtlSettings settings) {
        this.platform = platform;
        this.gateways = gateways;
        this.settings = settings;
        writer = "acaciactl/" + settings.operator() + "/" + UUID.randomUUID();
    }

    /** Returns the state that follows from the log now. */
    Directory read() throws CtlException {
        try {
            replay();
            return directory;
        } catch (PlatformException e) {
            throw unavailable(e);
        }
    }

    /** Appends {@code record}; returns the revision that it produced. */
    long publish(LogRecord record) throws CtlException {
        try {
            append(record);
            Verdict verdict = replay();
            if (verdict instanceof Verdict.Applied) {
                return directory.active().revision();
            }
            String reason = verdict instanceof Verdict.Void other ? other.reason() : "the log did not show the record";
            throw new CtlException(ExitCode.NEGATIVE, "not in force: " + reason);
        } catch (PlatformException e) {
            throw unavailable(e);
        }
    }

    private void append(LogRecord record) throws PlatformException {
        for (int tries = 1; ; tries++) {
            try {
                platform.append(writer, 1, List.of(record));
                return;
            } catch (PlatformException e) {
                if (e.kind() != PlatformException.Kind.UNCERTAIN || tries == APPEND_TRIES) {
                    throw e;
                }
            }
        }
    }

    /** Reads to the end of the log; returns the verdict on the record of this process, or null. */
    private Verdict replay() throws PlatformException {
        Verdict own = null;
        while (true) {
            PlatformLog.Page page = platform.read(directory.next(), READ_MOST, 0);
            for (LogEntry entry : page.entries()) {
                Directory.Step step = directory.apply(entry);
                directory = step.directory();
                if (entry.writer().equals(writer) && own == null) {
                    own = step.verdict();
                }
            }
            if (directory.next() >= page.end()) {
                return own;
            }
        }
    }

    /**
     * Waits until every scheduler that a gateway hears from holds {@code revision}.
     *
     * @return one sentence that says where it is in force
     */
    String awaitInForce(long revision) throws CtlException {
        long deadline = System.nanoTime() + IN_FORCE_MILLIS * 1_000_000;
        int holding = 0;
        int all = 0;
        while (System.nanoTime() < deadline) {
            JsonNode schedulers = gateways.operators("/v1/schedulers").get("schedulers");
            holding = 0;
            all = 0;
            for (JsonNode scheduler : schedulers) {
                boolean answers = scheduler.get("answers").asBoolean();
                all += answers ? 1 : 0;
                holding += answers && scheduler.get("revision").asLong() >= revision ? 1 : 0;
            }
            if (all > 0 && holding == all) {
                return "in force on all " + all + " schedulers";
            }
            pause();
        }
        throw new CtlException(
                ExitCode.UNAVAILABLE,
                "revision " + revision + " is accepted but in force on only " + holding + " of " + all
                        + " schedulers; see 'acaciactl dc list' and the schedulers' logs");
    }

    private static void pause() {
        try {
            Thread.sleep(LOOK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static CtlException unavailable(PlatformException e) {
        return new CtlException(ExitCode.UNAVAILABLE, "the platform log did not answer: " + e.getMessage());
    }
}
