package org.acaciaport.node;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.acaciaport.admission.AdmissionPolicy;
import org.acaciaport.admission.Outlook;

/**
 * The requests that this node has refused: when they were first attempted, and whether they would have been in time.
 *
 * <p>Thread-safe. Bounded; the request that was refused first is forgotten first. Other nodes do not know of them.
 */
final class RefusedRequests {
    private static final int MAX_REQUESTS = 2_000;

    /** How long a request is remembered after its first attempt, in milliseconds; longer than callers return for. */
    private static final long RETENTION_MILLIS = 300_000;

    /** Interval between comparisons with the outlook, in milliseconds; a new one comes as often. */
    private static final long REVIEW_INTERVAL_MILLIS = 250;

    private final Map<String, Refused> byId = new LinkedHashMap<>();
    private long nextReviewMillis;

    /** A refused request, the time of its first attempt, and whether it would have been in time. */
    private record Refused(AdmissionPolicy.Request request, long firstMillis, boolean inTime) {}

    /** Returns when a request was first attempted, in milliseconds since the Unix epoch; now if it is not known. */
    synchronized long firstAttemptMillis(String id, long nowMillis) {
        Refused refused = byId.get(id);
        return refused == null ? nowMillis : Math.min(nowMillis, refused.firstMillis);
    }

    /** Records a refusal. */
    synchronized void add(AdmissionPolicy.Request request) {
        Refused earlier = byId.get(request.id());
        byId.put(
                request.id(),
                new Refused(
                        request,
                        earlier == null ? request.nowMillis() : earlier.firstMillis,
                        earlier != null && earlier.inTime));
        if (byId.size() > MAX_REQUESTS) {
            byId.remove(byId.keySet().iterator().next());
        }
    }

    /**
     * Returns how many refused requests would start at once by {@code outlook}, before they are of no use. Each is
     * counted once.
     */
    synchronized int reviewInTime(Outlook outlook, long nowMillis) {
        if (byId.isEmpty() || nowMillis < nextReviewMillis) {
            return 0;
        }
        nextReviewMillis = nowMillis + REVIEW_INTERVAL_MILLIS;
        int inTime = 0;
        for (Iterator<Map.Entry<String, Refused>> entries = byId.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<String, Refused> entry = entries.next();
            Refused refused = entry.getValue();
            if (nowMillis - refused.firstMillis > RETENTION_MILLIS) {
                entries.remove();
            } else if (!refused.inTime
                    && nowMillis <= refused.request.latestStartMillis()
                    && AdmissionPolicy.expectedWaitMillis(refused.request, outlook) == 0) {
                entry.setValue(new Refused(refused.request, refused.firstMillis, true));
                inTime++;
            }
        }
        return inTime;
    }
}
