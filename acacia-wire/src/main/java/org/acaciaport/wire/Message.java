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
 * What the programs say to each other. Every query has one reply. All variants are immutable.
 *
 * <p>Times are spans in milliseconds, since the clocks of two machines need not agree; the receiver turns them into
 * deadlines of its own.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "m")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Message.Ping.class, name = "ping"),
    @JsonSubTypes.Type(value = Message.Pong.class, name = "pong"),
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
    /** Asks whether the other end is alive. */
    record Ping() implements Message {}

    /** Answers {@link Ping}. */
    record Pong() implements Message {}

    /** What the nodes say to each other so that one of them reaches the log through another. */
    sealed interface LogMessage extends Message {}

    /** Asks the peer to append for a process that cannot reach the log; answered by {@link LogAppended}. */
    record AppendLog(Append append) implements LogMessage {}

    /**
     * Asks the peer to read for a process that cannot reach the log; answered by {@link LogRead}.
     *
     * @param topic name of the topic
     * @param from first offset wanted
     * @param waitMillis how long to wait for a record, in milliseconds
     */
    record ReadLog(String topic, long from, long waitMillis) implements LogMessage {}

    /**
     * Asks the peer for the newest records; answered by {@link NewestRead}.
     *
     * @param topic name of the topic
     * @param after the last key already seen; empty for the first page
     */
    record ReadNewest(String topic, String after) implements LogMessage {}

    /** Answers {@link AppendLog}. */
    record LogAppended(AppendOutcome outcome) implements LogMessage {}

    /** Answers {@link ReadLog}. */
    record LogRead(ReadOutcome outcome) implements LogMessage {}

    /** Answers {@link ReadNewest}. */
    record NewestRead(NewestOutcome outcome) implements LogMessage {}

    /**
     * Hands in a request; answered by {@link Status}, {@link Elsewhere} or {@link Refused}.
     *
     * @param account name of the client account
     * @param profile name of the profile
     * @param key idempotency key
     * @param payload opaque input
     */
    record Submit(String account, String profile, String key, String payload) implements Message {}

    /**
     * Asks for a request's status; answered by {@link Status}, {@link Elsewhere} or {@link Refused}.
     *
     * @param request identifier of the request
     * @param waitMillis how long to wait for its final answer, in milliseconds
     */
    record Find(String request, long waitMillis) implements Message {}

    /** Asks to cancel a request; answered like {@link Find}. */
    record Cancel(String request) implements Message {}

    /** Asks for the decisions about a request; answered by {@link Explanation}. */
    record Explain(String request) implements Message {}

    /**
     * Asks how a scheduler sees the system; answered by {@link View}.
     *
     * @param revision newest revision that the asker holds
     */
    record Look(long revision) implements Message {}

    /** Asks for the targets of the scheduler's data centre; answered by {@link Targets}. */
    record ListTargets() implements Message {}

    /**
     * Where a request stands.
     *
     * @param request its identifier
     * @param account its client account
     * @param key its idempotency key
     * @param state one word: queued, claiming, reserving, committing, running, paused, handing-over or an outcome
     * @param outcome its final answer; null if none yet
     */
    record Status(String request, String account, String key, String state, Outcome outcome) implements Message {}

    /**
     * Another scheduler answers for this.
     *
     * @param dataCentre its data centre
     * @param address its address as IP:PORT; empty if not known
     */
    record Elsewhere(String dataCentre, String address) implements Message {}

    /**
     * The query is refused; nothing was changed.
     *
     * @param kind one word that programs can act on
     * @param reason what is wrong
     * @param remedy what to do
     */
    record Refused(Kind kind, String reason, String remedy) implements Message {
        /** Kinds of refusal. */
        public enum Kind {
            /** The query itself is wrong. */
            INVALID,
            /** The key was used with other content. */
            KEY_CONFLICT,
            /** No such request is known. */
            NOT_FOUND,
            /** It cannot be done now. */
            UNAVAILABLE
        }
    }

    /** The decisions about a request, oldest first, one line each. */
    record Explanation(List<String> lines) implements Message {}

    /**
     * How one scheduler sees the system.
     *
     * @param dataCentre its data centre
     * @param leads whether it leads there
     * @param epoch newest epoch that it knows there
     * @param logAvailable whether it can reach the log
     * @param waiting requests waiting there; 0 unless it leads
     * @param revision newest revision that it holds
     * @param active the configuration of that revision; null if the asker holds it already
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
     * One target in short.
     *
     * @param target its identifier
     * @param rack its rack
     * @param state one word: live, leaving, unreachable or probation
     * @param accelerators its accelerators
     * @param used accelerators in use
     * @param claimed accelerators promised to waiting claims
     * @param tasks requests with work on it
     */
    record TargetLine(String target, String rack, String state, int accelerators, int used, int claimed, int tasks) {}
}
