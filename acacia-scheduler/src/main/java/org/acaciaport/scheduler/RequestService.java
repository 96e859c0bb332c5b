package org.acaciaport.scheduler;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.decision.CellState;
import org.acaciaport.decision.Event;
import org.acaciaport.decision.TargetState;
import org.acaciaport.directory.Leader;
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
    private final MetricRegistry metrics;
    private final RequestLookup lookup;
    private final RequestSubmission submission;
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
        this.metrics = metrics;
        LocallyAcceptedRequests locallyAccepted = new LocallyAcceptedRequests();
        lookup = new RequestLookup(settings, replica, leaderTerm, outcomes, locallyAccepted);
        submission = new RequestSubmission(settings, replica, lookup, locallyAccepted, clock);
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
            case Message.Identify identify -> rejectNonQuery();
            case Message.Identity identity -> rejectNonQuery();
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
        return new Message.Refused(Message.Refused.Kind.INVALID, "this message is a reply", "send a query");
    }

    private Message submit(Message.Submit submit, long deadline) {
        LeaderTerm current = leaderTerm.get();
        if (current == null || draining || !election.isLeader()) {
            return lookup.redirectTo(settings.vm().dataCentre());
        }
        return submission.submit(current, submit, deadline);
    }

    private Message find(Message.Find find, long deadline) {
        long waitDeadline = Math.min(deadline, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(find.waitMillis()));
        while (true) {
            Message known = lookup.statusOrRedirect(find.request());
            boolean waiting = known instanceof Message.Status status && status.outcome() == null;
            long remaining = waitDeadline - System.nanoTime();
            if (!waiting || draining || remaining <= 0) {
                return known;
            }
            outcomes.await(find.request(), Math.min(remaining, RECHECK_INTERVAL_NANOS));
        }
    }

    private Message cancel(Message.Cancel cancel) {
        LeaderTerm current = leaderTerm.get();
        Message known = lookup.statusOrRedirect(cancel.request());
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
            return lookup.redirectTo(settings.vm().dataCentre());
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
}
