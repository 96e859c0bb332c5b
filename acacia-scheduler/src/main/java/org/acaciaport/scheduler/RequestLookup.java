package org.acaciaport.scheduler;

import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.decision.Job;
import org.acaciaport.decision.Phase;
import org.acaciaport.directory.Leader;
import org.acaciaport.directory.RequestState;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;
import org.acaciaport.wire.Message;

/**
 * Looks up the status of requests, or the scheduler to ask for them, from the log, the leader term and the outcomes of
 * this process.
 *
 * <p>Thread-safe; never blocks.
 */
final class RequestLookup {
    private final SchedulerSettings settings;
    private final LogReplica replica;
    private final AtomicReference<LeaderTerm> leaderTerm;
    private final RecentOutcomes outcomes;
    private final LocallyAcceptedRequests locallyAccepted;

    RequestLookup(
            SchedulerSettings settings,
            LogReplica replica,
            AtomicReference<LeaderTerm> leaderTerm,
            RecentOutcomes outcomes,
            LocallyAcceptedRequests locallyAccepted) {
        this.settings = settings;
        this.replica = replica;
        this.leaderTerm = leaderTerm;
        this.outcomes = outcomes;
        this.locallyAccepted = locallyAccepted;
    }

    /** Returns the status of the request if this scheduler knows it, or else where to ask for it. */
    Message statusOrRedirect(String id) {
        RequestState recorded = replica.directory().request(id);
        LeaderTerm current = leaderTerm.get();
        Job job = current == null ? null : current.state().job(id).orElse(null);
        if (job != null) {
            return currentStatus(job.request());
        }
        if (recorded == null) {
            Request accepted = locallyAccepted.findById(id);
            return accepted == null ? notFound(id) : currentStatus(accepted);
        }
        boolean elsewhere = recorded.outcome() == null
                && outcomes.getIfPresent(id) == null
                && (current == null || !recorded.home().equals(settings.vm().dataCentre()));
        return elsewhere ? redirectTo(recorded.home()) : currentStatus(recorded.request());
    }

    /** Returns the status of a known request. Without an outcome and a current job it is reported as queued. */
    Message currentStatus(Request request) {
        RequestState recorded = replica.directory().request(request.id());
        Outcome outcome = outcomes.getIfPresent(request.id());
        if (outcome == null && recorded != null) {
            outcome = recorded.outcome();
        }
        if (outcome != null) {
            return status(request, outcome.statusName(), outcome);
        }
        LeaderTerm current = leaderTerm.get();
        String state = current == null
                ? "queued"
                : current.state()
                        .job(request.id())
                        .map(job -> stateName(job.phase()))
                        .orElse("queued");
        return status(request, state, null);
    }

    /** Returns the status of a request that was accepted just now. */
    static Message.Status queued(Request request) {
        return status(request, "queued", null);
    }

    private static Message.Status status(Request request, String state, Outcome outcome) {
        return new Message.Status(request.id(), request.account(), request.key(), state, outcome);
    }

    private static String stateName(Phase phase) {
        return switch (phase) {
            case Phase.Queued queued -> "queued";
            case Phase.Claiming claiming -> "claiming";
            case Phase.Reserving reserving -> "reserving";
            case Phase.Committing committing -> "committing";
            case Phase.Running running -> "running";
            case Phase.Paused paused -> "paused";
            case Phase.HandingOver handingOver -> "handing-over";
        };
    }

    /** Returns where to reach the leader of {@code dataCentre}, as far as the log names one. */
    Message redirectTo(String dataCentre) {
        Leader leader = replica.directory().leader(dataCentre);
        return new Message.Elsewhere(dataCentre, leader == null || leader.resigned() ? "" : leader.address());
    }

    private static Message notFound(String id) {
        return new Message.Refused(
                Message.Refused.Kind.NOT_FOUND,
                "no request '" + id + "' is known here",
                "check the identifier, or submit again with the same key");
    }
}
