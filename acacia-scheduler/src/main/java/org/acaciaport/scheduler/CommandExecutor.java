package org.acaciaport.scheduler;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.DataCentre;
import org.acaciaport.decision.CellState;
import org.acaciaport.decision.Command;
import org.acaciaport.decision.Event;
import org.acaciaport.decision.Member;
import org.acaciaport.decision.Phase;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Request;

/**
 * Executes the commands of one leader term: sends them to the targets or appends them to the log, and completes the
 * outcomes of answered requests.
 *
 * <p>Commands are executed on the deciding thread of the term, in the order of the decisions. The answers of the log
 * arrive on other threads and are passed on as events.
 */
final class CommandExecutor {
    private final long epoch;
    private final SchedulerSettings settings;
    private final LogReplica replica;
    private final TargetSessions sessions;
    private final RecentOutcomes outcomes;
    private final LeaderLiveness leaderLiveness;
    private final MetricRegistry metrics;
    private final Supplier<CellState> state;
    private final Consumer<Event> events;

    /**
     * Creates an executor for the term of {@code epoch}.
     *
     * @param state returns the latest published state; called on any thread
     * @param events receives events for the decider; called on any thread
     */
    CommandExecutor(
            long epoch,
            SchedulerSettings settings,
            LogReplica replica,
            TargetSessions sessions,
            RecentOutcomes outcomes,
            LeaderLiveness leaderLiveness,
            MetricRegistry metrics,
            Supplier<CellState> state,
            Consumer<Event> events) {
        this.epoch = epoch;
        this.settings = settings;
        this.replica = replica;
        this.sessions = sessions;
        this.outcomes = outcomes;
        this.leaderLiveness = leaderLiveness;
        this.metrics = metrics;
        this.state = state;
        this.events = events;
    }

    /** Executes {@code command}, which follows from the latest published state. */
    void execute(Command command) {
        metrics.counter("command." + command.getClass().getSimpleName()).inc();
        switch (command) {
            case Command.Reserve reserve -> sessions.send(reserve.member(), reserve, () -> true);
            case Command.Release release -> sessions.send(release.member(), release, () -> true);
            case Command.Start start ->
                sessions.send(
                        start.member(),
                        start,
                        () -> occupies(start.request().id(), start.attempt().number(), start.member()));
            case Command.Treat treat ->
                sessions.send(treat.member(), treat, () -> occupies(treat.request(), treat.attempt(), treat.member()));
            case Command.Resume resume -> sessions.send(resume.member(), resume, () -> true);
            case Command.RecordIntent intent -> recordIntent(intent);
            case Command.RecordVoid recordVoid ->
                replica.append(
                        new LogRecord.Voided(recordVoid.request(), recordVoid.attempt(), recordVoid.checkpointed()));
            case Command.Answer answer -> {
                metrics.counter("answer." + answer.outcome().statusName()).inc();
                outcomes.complete(answer.request().id(), answer.outcome());
                replica.append(new LogRecord.Finished(answer.request().id(), answer.outcome()));
            }
            case Command.HandOver handOver -> handOver(handOver.request());
        }
    }

    /** Returns whether {@code member} still occupies its place in the request's current, running attempt. */
    private boolean occupies(String request, long attempt, Member member) {
        return state.get()
                .job(request)
                .filter(job -> job.phase() instanceof Phase.Running running
                        && running.attempt().number() == attempt
                        && running.members().get(member.index()).occupiesAccelerators())
                .isPresent();
    }

    private void recordIntent(Command.RecordIntent intent) {
        String request = intent.request().id();
        long attempt = intent.attempt().number();
        LogRecord.Intended record = new LogRecord.Intended(
                settings.vm().dataCentre(),
                request,
                attempt,
                epoch,
                intent.attempt().members());
        replica.append(record)
                .whenComplete((verdict, error) ->
                        events.accept(new Event.IntentAnswered(request, attempt, error == null && verdict.applied())));
    }

    /** Hands the request over to another data centre, if one is eligible. */
    private void handOver(Request request) {
        String destination = chooseDestination(request);
        if (destination == null) {
            events.accept(new Event.HandOverAnswered(request.id(), false));
            return;
        }
        replica.append(new LogRecord.HandedOver(request.id(), settings.vm().dataCentre(), destination))
                .whenComplete((verdict, error) ->
                        events.accept(new Event.HandOverAnswered(request.id(), error == null && verdict.applied())));
    }

    /**
     * Returns another data centre that is in service and has a live leader, chosen by rendezvous hashing, or null if
     * there is none.
     */
    private String chooseDestination(Request request) {
        String localDataCentre = settings.vm().dataCentre();
        ActiveConfiguration active = state.get().active();
        String destination = null;
        long bestScore = Long.MIN_VALUE;
        for (DataCentre candidate : active.configuration().dataCentres()) {
            long score = Hashing.murmur3_128()
                    .hashString(request.id() + '/' + candidate.name(), StandardCharsets.UTF_8)
                    .asLong();
            boolean eligible = active.inService(candidate.name()) && leaderLiveness.hasLiveLeader(candidate.name());
            if (eligible && !candidate.name().equals(localDataCentre) && score > bestScore) {
                bestScore = score;
                destination = candidate.name();
            }
        }
        return destination;
    }
}
