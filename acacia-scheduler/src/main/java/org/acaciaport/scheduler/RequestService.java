package org.acaciaport.scheduler;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Profile;
import org.acaciaport.decision.CellState;
import org.acaciaport.decision.Event;
import org.acaciaport.decision.Job;
import org.acaciaport.decision.Phase;
import org.acaciaport.decision.TargetState;
import org.acaciaport.directory.Leader;
import org.acaciaport.directory.RequestState;
import org.acaciaport.directory.Verdict;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireServer;

/**
 * Answers queries from gateways and other programs.
 *
 * <p>Thread-safe. Each query runs on a thread of its own, which may block until the log confirms a record or a request
 * has an outcome.
 */
final class RequestService implements WireServer.Handler {
    /** How often a waiting query checks whether it must return early. */
    private static final long RECHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final SchedulerSettings settings;
    private final LogReplica replica;
    private final LeaderElection election;
    private final AtomicReference<LeaderTerm> leaderTerm;
    private final RecentOutcomes outcomes;
    private final Explanations explanations;
    private final Clock clock;
    private final MetricRegistry metrics;
    private final LocallyAcceptedRequests locallyAccepted = new LocallyAcceptedRequests();
    private final AtomicLong requestCounter = new AtomicLong();
    private volatile boolean draining;

    RequestService(
            SchedulerSettings settings,
            LogReplica replica,
            LeaderElection election,
            AtomicReference<LeaderTerm> leaderTerm,
            RecentOutcomes outcomes,
            Explanations explanations,
            Clock clock,
            MetricRegistry metrics) {
        this.settings = settings;
        this.replica = replica;
        this.election = election;
        this.leaderTerm = leaderTerm;
        this.outcomes = outcomes;
        this.explanations = explanations;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Makes waiting queries return early and redirects new requests to the leader that the log names. */
    void drain() {
        draining = true;
    }

    @Override
    public Message answer(Message query, long deadline) {
        metrics.counter("query." + query.getClass().getSimpleName()).inc();
        return switch (query) {
            case Message.Submit submit -> submit(submit, deadline);
            case Message.Find find -> find(find, deadline);
            case Message.Cancel cancel -> cancel(cancel);
            case Message.Explain explain -> new Message.Explanation(explanations.forRequest(explain.request()));
            case Message.Look look -> view(look);
            case Message.ListTargets list -> listTargets();
            case Message.Ping ping -> new Message.Pong();
            case Message.Pong pong -> rejectNonQuery();
            case Message.Status status -> rejectNonQuery();
            case Message.Elsewhere elsewhere -> rejectNonQuery();
            case Message.Refused refused -> rejectNonQuery();
            case Message.Explanation explanation -> rejectNonQuery();
            case Message.View view -> rejectNonQuery();
            case Message.Targets targets -> rejectNonQuery();
            case Message.LogMessage other -> rejectNonQuery();
        };
    }

    private static Message rejectNonQuery() {
        return refuse(Message.Refused.Kind.INVALID, "this message is a reply", "send a query");
    }

    private Message submit(Message.Submit submit, long deadline) {
        LeaderTerm current = leaderTerm.get();
        if (current == null || draining || !election.isLeader()) {
            return redirectTo(settings.vm().dataCentre());
        }
        ActiveConfiguration active = replica.directory().active();
        Profile profile = active.configuration().profile(submit.profile()).orElse(null);
        if (profile == null) {
            return refuse(
                    Message.Refused.Kind.INVALID,
                    "unknown profile '" + submit.profile() + "'",
                    "choose one that 'acaciactl profile list' shows");
        }
        if (!active.configuration().hasAccount(submit.account())) {
            return refuse(
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
                case Verdict.Applied applied -> status(request, "queued", null);
                case Verdict.KeyUsed used -> replyToDuplicate(used.original(), payloadHash);
                case Verdict.Void other -> refuse(Message.Refused.Kind.UNAVAILABLE, other.reason(), "submit it again");
            };
        } catch (TimeoutException | ExecutionException e) {
            return refuse(
                    Message.Refused.Kind.UNAVAILABLE,
                    "the platform log did not confirm the request in time; it may have been accepted",
                    "submit it again with the same key");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return refuse(Message.Refused.Kind.UNAVAILABLE, "the scheduler stops", "submit it again with the same key");
        }
    }

    /**
     * Accepts a request while the log is unavailable. Only idempotent work is accepted, because it may run twice. Its
     * record is queued and appended when the log is available again.
     */
    private Message acceptLocally(LeaderTerm current, Request request, String payloadHash) {
        if (!request.profile().idempotent()) {
            return refuse(
                    Message.Refused.Kind.UNAVAILABLE,
                    "not run: the platform log is unavailable and this work must not run twice",
                    "submit it again with the same key later");
        }
        LocallyAcceptedRequests.Submission first = locallyAccepted.putIfAbsent(request, payloadHash);
        if (!first.request().id().equals(request.id())) {
            return first.payloadHash().equals(payloadHash) ? currentStatus(first.request()) : keyConflict();
        }
        current.onEvent(new Event.Submitted(request, false));
        replica.append(new LogRecord.Accepted(settings.vm().dataCentre(), request, payloadHash));
        return status(request, "queued", null);
    }

    /** Returns the status of the request that the key was first used for, or a conflict if the content differs. */
    private Message replyToDuplicate(RequestState recorded, String payloadHash) {
        return recorded.payloadHash().equals(payloadHash) ? currentStatus(recorded.request()) : keyConflict();
    }

    private static Message keyConflict() {
        return refuse(
                Message.Refused.Kind.KEY_CONFLICT,
                "the key was used for another profile or payload",
                "use a new key for new work, or send the first content again");
    }

    private Message find(Message.Find find, long deadline) {
        long waitDeadline = Math.min(deadline, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(find.waitMillis()));
        while (true) {
            Message known = statusOrRedirect(find.request());
            boolean waiting = known instanceof Message.Status status && status.outcome() == null;
            long remaining = waitDeadline - System.nanoTime();
            if (!waiting || draining || remaining <= 0) {
                return known;
            }
            outcomes.await(find.request(), Math.min(remaining, RECHECK_INTERVAL_NANOS));
        }
    }

    /** Returns the status of the request if this scheduler knows it, or else where to ask for it. */
    private Message statusOrRedirect(String id) {
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
    private Message currentStatus(Request request) {
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

    private Message cancel(Message.Cancel cancel) {
        LeaderTerm current = leaderTerm.get();
        Message known = statusOrRedirect(cancel.request());
        if (current != null && current.state().job(cancel.request()).isPresent()) {
            current.onEvent(new Event.CancelAsked(cancel.request()));
        }
        return known;
    }

    private Message view(Message.Look look) {
        LeaderTerm current = leaderTerm.get();
        ActiveConfiguration active = replica.directory().active();
        Leader leader = election.currentLeader();
        return new Message.View(
                settings.vm().dataCentre(),
                current != null && !draining,
                leader == null ? 0 : leader.epoch(),
                replica.isAvailable(),
                current == null ? 0 : current.state().workload().queues().size(),
                active.revision(),
                active.revision() > look.revision() ? active : null);
    }

    private Message listTargets() {
        LeaderTerm current = leaderTerm.get();
        if (current == null) {
            return redirectTo(settings.vm().dataCentre());
        }
        CellState state = current.state();
        List<Message.TargetLine> lines = state.fleet().targets().values().stream()
                .map(RequestService::toTargetLine)
                .sorted((a, b) -> a.target().compareTo(b.target()))
                .toList();
        return new Message.Targets(lines);
    }

    private static Message.TargetLine toTargetLine(TargetState target) {
        String state = !target.reachable()
                ? "unreachable"
                : target.leaving() ? "leaving" : target.health().onProbation() ? "probation" : "live";
        return new Message.TargetLine(
                target.id(),
                target.target().rack(),
                state,
                target.capacity(),
                target.load().used(),
                target.load().claimed(),
                target.load().jobs().size());
    }

    private Message redirectTo(String dataCentre) {
        Leader leader = replica.directory().leader(dataCentre);
        return new Message.Elsewhere(dataCentre, leader == null || leader.resigned() ? "" : leader.address());
    }

    private static Message notFound(String id) {
        return refuse(
                Message.Refused.Kind.NOT_FOUND,
                "no request '" + id + "' is known here",
                "check the identifier, or submit again with the same key");
    }

    private static Message.Status status(Request request, String state, Outcome outcome) {
        return new Message.Status(request.id(), request.account(), request.key(), state, outcome);
    }

    private static Message refuse(Message.Refused.Kind kind, String reason, String remedy) {
        return new Message.Refused(kind, reason, remedy);
    }

    private static String payloadHash(Message.Submit submit) {
        return Hashing.sha256()
                .hashString(submit.profile() + '\n' + submit.payload(), StandardCharsets.UTF_8)
                .toString();
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
}
