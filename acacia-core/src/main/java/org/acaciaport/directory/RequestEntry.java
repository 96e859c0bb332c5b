package org.acaciaport.directory;

import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * What the log says of one request.
 *
 * <p>Immutable.
 *
 * @param request the request
 * @param payloadHash hash of profile and payload
 * @param home data centre that answers for it
 * @param intent its intended attempt; null if none stands
 * @param checkpointed whether a saved state exists from which it resumes
 * @param outcome its final answer; null if none yet
 */
public record RequestEntry(
        Request request,
        String payloadHash,
        String home,
        LogRecord.Intended intent,
        boolean checkpointed,
        Outcome outcome) {
    RequestEntry withIntent(LogRecord.Intended next) {
        return new RequestEntry(request, payloadHash, home, next, checkpointed, outcome);
    }

    RequestEntry withoutIntent(boolean saved) {
        return new RequestEntry(request, payloadHash, home, null, checkpointed || saved, outcome);
    }

    RequestEntry withOutcome(Outcome next) {
        return new RequestEntry(request, payloadHash, home, intent, checkpointed, next);
    }

    RequestEntry withHome(String next) {
        return new RequestEntry(request, payloadHash, next, intent, checkpointed, outcome);
    }
}
