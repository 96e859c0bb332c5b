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
public record RequestState(
        Request request,
        String payloadHash,
        String home,
        LogRecord.Intended intent,
        boolean checkpointed,
        Outcome outcome) {
    RequestState withIntent(LogRecord.Intended next) {
        return new RequestState(request, payloadHash, home, next, checkpointed, outcome);
    }

    RequestState withoutIntent(boolean saved) {
        return new RequestState(request, payloadHash, home, null, checkpointed || saved, outcome);
    }

    RequestState withOutcome(Outcome next) {
        return new RequestState(request, payloadHash, home, intent, checkpointed, next);
    }

    RequestState withHome(String next) {
        return new RequestState(request, payloadHash, next, intent, checkpointed, outcome);
    }
}
