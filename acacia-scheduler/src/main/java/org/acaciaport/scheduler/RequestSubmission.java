package org.acaciaport.scheduler;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Profile;
import org.acaciaport.decision.Event;
import org.acaciaport.directory.RequestState;
import org.acaciaport.directory.Verdict;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Request;
import org.acaciaport.wire.Message;

/**
 * Accepts new requests, each key of an account once.
 *
 * <p>Thread-safe. A submission may block until the log confirms its record.
 */
final class RequestSubmission {
    private final SchedulerSettings settings;
    private final LogReplica replica;
    private final RequestLookup lookup;
    private final LocallyAcceptedRequests locallyAccepted;
    private final Clock clock;
    private final AtomicLong requestCounter = new AtomicLong();

    RequestSubmission(
            SchedulerSettings settings,
            LogReplica replica,
            RequestLookup lookup,
            LocallyAcceptedRequests locallyAccepted,
            Clock clock) {
        this.settings = settings;
        this.replica = replica;
        this.lookup = lookup;
        this.locallyAccepted = locallyAccepted;
        this.clock = clock;
    }

    /**
     * Accepts a request in the leader term {@code current}, or returns the status of the request that its key was first
     * used for.
     *
     * @param deadline until when to wait for the log, as a value of {@link System#nanoTime}
     */
    Message submit(LeaderTerm current, Message.Submit submit, long deadline) {
        ActiveConfiguration active = replica.directory().active();
        Profile profile = active.configuration().profile(submit.profile()).orElse(null);
        if (profile == null) {
            return new Message.Refused(
                    Message.Refused.Kind.INVALID,
                    "unknown profile '" + submit.profile() + "'",
                    "choose one that 'acaciactl profile list' shows");
        }
        if (!active.configuration().hasAccount(submit.account())) {
            return new Message.Refused(
                    Message.Refused.Kind.INVALID,
                    "unknown account '" + submit.account() + "'",
                    "have an operator publish the account");
        }
        String payloadHash = payloadHash(submit);
        RequestState recorded = replica.directory().requestByKey(submit.account(), submit.key());
        if (recorded != null) {
            return replyToDuplicate(recorded, payloadHash);
        }
        Request request = newRequest(current, submit, profile);
        if (replica.isAvailable()) {
            return acceptOnLog(request, payloadHash, deadline);
        }
        return acceptLocally(current, request, payloadHash);
    }

    private Request newRequest(LeaderTerm current, Message.Submit submit, Profile profile) {
        String id = settings.vm().dataCentre() + "_" + current.epoch() + "_" + requestCounter.incrementAndGet();
        long now = clock.millis();
        return new Request(
                id, submit.account(), submit.key(), profile, submit.payload(), now, now + profile.queueLimitMillis());
    }

    private Message acceptOnLog(Request request, String payloadHash, long deadline) {
        LogRecord.Accepted accepted = new LogRecord.Accepted(settings.vm().dataCentre(), request, payloadHash);
        try {
            Verdict verdict =
                    replica.append(accepted).get(Math.max(1, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
            return switch (verdict) {
                case Verdict.Applied applied -> RequestLookup.queued(request);
                case Verdict.KeyUsed used -> replyToDuplicate(used.original(), payloadHash);
                case Verdict.Void other ->
                    new Message.Refused(Message.Refused.Kind.UNAVAILABLE, other.reason(), "submit it again");
            };
        } catch (TimeoutException | ExecutionException e) {
            return new Message.Refused(
                    Message.Refused.Kind.UNAVAILABLE,
                    "the platform log did not confirm the request in time; it may have been accepted",
                    "submit it again with the same key");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Message.Refused(
                    Message.Refused.Kind.UNAVAILABLE, "the scheduler stops", "submit it again with the same key");
        }
    }

    /**
     * Accepts a request while the log is unavailable. Only idempotent work is accepted, because it may run twice. Its
     * record is queued and appended when the log is available again.
     */
    private Message acceptLocally(LeaderTerm current, Request request, String payloadHash) {
        if (!request.profile().idempotent()) {
            return new Message.Refused(
                    Message.Refused.Kind.UNAVAILABLE,
                    "not run: the platform log is unavailable and this work must not run twice",
                    "submit it again with the same key later");
        }
        LocallyAcceptedRequests.Submission first = locallyAccepted.putIfAbsent(request, payloadHash);
        if (!first.request().id().equals(request.id())) {
            return first.payloadHash().equals(payloadHash) ? lookup.currentStatus(first.request()) : keyConflict();
        }
        current.onEvent(new Event.Submitted(request, false));
        replica.append(new LogRecord.Accepted(settings.vm().dataCentre(), request, payloadHash));
        return RequestLookup.queued(request);
    }

    /** Returns the status of the request that the key was first used for, or a conflict if the content differs. */
    private Message replyToDuplicate(RequestState recorded, String payloadHash) {
        return recorded.payloadHash().equals(payloadHash) ? lookup.currentStatus(recorded.request()) : keyConflict();
    }

    private static Message keyConflict() {
        return new Message.Refused(
                Message.Refused.Kind.KEY_CONFLICT,
                "the key was used for another profile or payload",
                "use a new key for new work, or send the first content again");
    }

    private static String payloadHash(Message.Submit submit) {
        return Hashing.sha256()
                .hashString(submit.profile() + '\n' + submit.payload(), StandardCharsets.UTF_8)
                .toString();
    }
}
