package org.acaciaport.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.request.Outcome;

/**
 * A message between two programs: a query or the reply to one.
 *
 * <p>Every query has exactly one reply. All messages are immutable. Times are durations in milliseconds, since the
 * clocks of two machines need not agree; the receiver computes deadlines on its own clock.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "m")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Message.Ping.class, name = "ping"),
    @JsonSubTypes.Type(value = Message.Pong.class, name = "pong"),
    @JsonSubTypes.Type(value = Message.Identify.class, name = "identify"),
    @JsonSubTypes.Type(value = Message.Identity.class, name = "identity"),
    @JsonSubTypes.Type(value = Message.Submit.class, name = "submit"),
    @JsonSubTypes.Type(value = Message.Find.class, name = "find"),
    @JsonSubTypes.Type(value = Message.Cancel.class, name = "cancel"),
    @JsonSubTypes.Type(value = Message.Explain.class, name = "explain"),
    @JsonSubTypes.Type(value = Message.Look.class, name = "look"),
    @JsonSubTypes.Type(value = Message.ListTargets.class, name = "list-targets"),
    @JsonSubTypes.Type(value = Message.Status.class, name = "status"),
    @JsonSubTypes.Type(value = Message.Elsewhere.class, name = "elsewhere"),
    @JsonSubTypes.Type(value = Message.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = Message.Explanation.class, name = "explanation"),
    @JsonSubTypes.Type(value = Message.View.class, name = "view"),
    @JsonSubTypes.Type(value = Message.Targets.class, name = "targets"),
    @JsonSubTypes.Type(value = Message.AppendLog.class, name = "append-log"),
    @JsonSubTypes.Type(value = Message.ReadLog.class, name = "read-log"),
    @JsonSubTypes.Type(value = Message.ReadNewest.class, name = "read-newest"),
    @JsonSubTypes.Type(value = Message.LogAppended.class, name = "log-appended"),
    @JsonSubTypes.Type(value = Message.LogRead.class, name = "log-read"),
    @JsonSubTypes.Type(value = Message.NewestRead.class, name = "newest-read")
})
public sealed interface Message {
    /** Checks whether the peer responds; answered by {@link Pong}. */
    record Ping() implements Message {}

    /** Answers {@link Ping}. */
    record Pong() implements Message {}

    /** Asks which process of a node this is; answered by {@link Identity}. */
    record Identify() implements Message {}

    /**
     * Answers {@link Identify}.
     *
     * @param node the name of the node
     * @param startedMillis when the process started by its wall clock, in milliseconds since the Unix epoch; tells it
     *     from other processes of the node
     * @param uptimeMillis how long the process has been running at least, in milliseconds
     */
    record Identity(String node, long startedMillis, long uptimeMillis) implements Message {}

    /** A message by which a node reaches the log through another node. */
    sealed interface LogMessage extends Message {}

    /**
     * Asks the peer to append to the log on behalf of the sender, which cannot reach it; answered by
     * {@link LogAppended}.
     */
    record AppendLog(Append append) implements LogMessage {}

    /**
     * Asks the peer to read from the log on behalf of the sender, which cannot reach it; answered by {@link LogRead}.
     *
     * @param topic the name of the topic
     * @param from the first offset to read
     * @param waitMillis how long to wait for a record if there is none, in milliseconds
     */
    record ReadLog(String topic, long from, long waitMillis) implements LogMessage {}

    /**
     * Asks the peer to read the newest record of each key on behalf of the sender, which cannot reach the log; answered
     * by {@link NewestRead}.
     *
     * @param topic the name of the topic
     * @param after the last key of the previous page; empty for the first page
     */
    record ReadNewest(String topic, String after) implements LogMessage {}

    /** Answers {@link AppendLog}. */
    record LogAppended(AppendOutcome outcome) implements LogMessage {}

    /** Answers {@link ReadLog}. */
    record LogRead(ReadOutcome outcome) implements LogMessage {}

    /** Answers {@link ReadNewest}. */
    record NewestRead(NewestOutcome outcome) implements LogMessage {}

    /**
     * Submits a request; answered by {@link Status}, {@link Elsewhere} or {@link Refused}.
     *
     * @param account the name of the client account
     * @param profile the name of the profile
     * @param key the idempotency key
     * @param payload the input of the request, which is not interpreted
     */
    record Submit(String account, String profile, String key, String payload) implements Message {}

    /**
     * Asks for a request's status; answered by {@link Status}, {@link Elsewhere} or {@link Refused}.
     *
     * @param request the id of the request
     * @param waitMillis how long to wait for its outcome, in milliseconds
     */
    record Find(String request, long waitMillis) implements Message {}

    /** Asks to cancel a request; answered like {@link Find}. */
    record Cancel(String request) implements Message {}

    /** Asks which decisions were made about a request; answered by {@link Explanation}. */
    record Explain(String request) implements Message {}

    /**
     * Asks for a scheduler's view of the system; answered by {@link View}.
     *
     * @param revision the newest configuration revision that the sender holds
     */
    record Look(long revision) implements Message {}

    /** Asks for the targets of the scheduler's data centre; answered by {@link Targets} or {@link Elsewhere}. */
    record ListTargets() implements Message {}

    /**
     * The state of a request.
     *
     * @param request the id of the request
     * @param account its client account
     * @param key its idempotency key
     * @param state one of queued, claiming, reserving, committing, running, paused and handing-over, or the name of the
     *     outcome
     * @param outcome the outcome; null if the request has not ended
     */
    record Status(String request, String account, String key, String state, Outcome outcome) implements Message {}

    /**
     * A redirect to the leader of a data centre, which can answer the query.
     *
     * @param dataCentre the data centre
     * @param address the address of its leader as IP:PORT; empty if unknown
     */
    record Elsewhere(String dataCentre, String address) implements Message {}

    /**
     * A refusal of the query, which had no effect.
     *
     * @param kind the kind of refusal, for programs
     * @param reason why the query was refused, for people
     * @param remedy what to do about it, for people
     */
    record Refused(Kind kind, String reason, String remedy) implements Message {
        /** The kind of a refusal. */
        public enum Kind {
            /** The query is invalid. */
            INVALID,
            /** The idempotency key was already used for a request with other content. */
            KEY_CONFLICT,
            /** There is no such request. */
            NOT_FOUND,
            /** The query cannot be carried out now but may be later. */
            UNAVAILABLE
        }
    }

    /** The decisions made about a request, one per line, oldest first. */
    record Explanation(List<String> lines) implements Message {}

    /**
     * A scheduler's view of the system.
     *
     * @param dataCentre the scheduler's data centre
     * @param leads whether the scheduler is the leader of that data centre
     * @param epoch the newest epoch of that data centre known to the scheduler
     * @param logAvailable whether the scheduler can reach the log
     * @param waiting the number of requests waiting in that data centre; 0 unless the scheduler is its leader
     * @param revision the newest configuration revision that the scheduler holds
     * @param active the configuration of that revision; null if the sender of the query holds it already
     */
    record View(
            String dataCentre,
            boolean leads,
            long epoch,
            boolean logAvailable,
            int waiting,
            long revision,
            ActiveConfiguration active)
            implements Message {}

    /** The targets of a data centre. */
    record Targets(List<TargetLine> lines) implements Message {}

    /**
     * A summary of one target.
     *
     * @param target the id of the target
     * @param rack its rack
     * @param state one of live, leaving, unreachable and probation
     * @param accelerators the number of its accelerators
     * @param used the number of accelerators in use
     * @param claimed the number of accelerators claimed for waiting requests
     * @param tasks the number of requests with work on it
     */
    record TargetLine(String target, String rack, String state, int accelerators, int used, int claimed, int tasks) {}
}
