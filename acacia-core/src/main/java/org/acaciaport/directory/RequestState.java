package org.acaciaport.directory;

import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * The state of one request, as recorded on the log.
 *
 * <p>Immutable.
 *
 * @param request the request
 * @param payloadHash hash of profile and payload
 * @param home name of the data centre that is responsible for it
 * @param intent the record of its current attempt; null if none is recorded
 * @param checkpointed whether a checkpoint exists from which the next attempt resumes
 * @param outcome its final outcome; null while it is not finished
 */
public record RequestState(
        Request request,
        String payloadHash,
        String home,
        LogRecord.Intended intent,
        boolean checkpointed,
        Outcome outcome) {
    RequestState withIntent(LogRecord.Intended newIntent) {
        return new RequestState(request, payloadHash, home, newIntent, checkpointed, outcome);
    }

    RequestState withoutIntent(boolean newCheckpoint) {
        return new RequestState(request, payloadHash, home, null, checkpointed || newCheckpoint, outcome);
    }

    RequestState withOutcome(Outcome newOutcome) {
        return new RequestState(request, payloadHash, home, intent, checkpointed, newOutcome);
    }

    RequestState withHome(String newHome) {
        return new RequestState(request, payloadHash, newHome, intent, checkpointed, outcome);
    }
}
