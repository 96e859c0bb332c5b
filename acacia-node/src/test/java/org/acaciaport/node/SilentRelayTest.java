package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.wire.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests calls that go through a relay which falls silent. They guard against a node that answers by an old
 * configuration (CONFIG) for as long as its read waits for that relay, although another route works.
 */
final class SilentRelayTest {
    private static final String TOPIC = "jobs";

    /** How long reads wait for new records, in milliseconds, as those of the operators' records do. */
    private static final long WAIT_MILLIS = 1_000;

    private static final long DEADLINE_MILLIS = 5_000;

    /** Time from the moment at which a route works to its use: a probe interval and the call, in milliseconds. */
    private static final long MAX_CHANGE_MILLIS = 1_000;

    /** Time until a relay that does not answer is left, in milliseconds: its wait and the longest timeout of a call. */
    private static final long MAX_SILENCE_MILLIS = 2_500;

    private final MemoryLog direct = new MemoryLog();
    private final List<Relay> twoRelays = List.of(new Relay(), new Relay());
    private final List<WireServer> servers = new ArrayList<>();

    /** A log that answers nothing while it is silent, and counts the calls that it got. */
    private static final class Relay implements KeyedLog {
        private final MemoryLog log = new MemoryLog();
        private final List<String> calls = new CopyOnWriteArrayList<>();
        private volatile boolean silent = true;

        private <T> T answer(String call, long deadline, T unavailable, Supplier<T> answer) {
            calls.add(call);
            if (silent) {
                // Longer than any caller waits.
                Clocks.sleep(Math.max(0, Clocks.millisUntil(deadline)) + DEADLINE_MILLIS);
                return unavailable;
            }
            return answer.get();
        }

        @Override
        public AppendOutcome append(Append append, long deadline) {
            AppendOutcome unknown = new AppendOutcome.Unknown("silent");
            return answer("append", deadline, unknown, () -> log.append(append, deadline));
        }

        @Override
        public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
            ReadOutcome unavailable = new ReadOutcome.Unavailable("silent");
            return answer("read", deadline, unavailable, () -> log.read(topic, from, waitMillis, deadline));
        }

        @Override
        public NewestOutcome newest(String topic, String after, long deadline) {
            NewestOutcome unavailable = new NewestOutcome.Unavailable("silent");
            return answer("newest", deadline, unavailable, () -> log.newest(topic, after, deadline));
        }
    }

    @AfterEach
    void stop() throws IOException {
        for (WireServer server : servers) {
            server.close();
        }
    }

    /** Returns a log whose direct route is {@code log} and whose peers relay to {@code relays}, in order. */
    private FailoverLog failoverLog(KeyedLog log, KeyedLog... relays) throws Exception {
        List<String> addresses = new ArrayList<>();
        for (KeyedLog relay : relays) {
            FailoverLog peerLog = new FailoverLog(relay, new Peers("peer", List::of));
            WireServer server = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerLog);
            servers.add(server);
            addresses.add("127.0.0.1:" + server.port());
        }
        return new FailoverLog(log, new Peers("self:1", () -> addresses));
    }

    private static long deadline() {
        return Clocks.deadlineAfter(DEADLINE_MILLIS);
    }

    private static ReadOutcome read(FailoverLog log, long waitMillis) {
        return log.read(TOPIC, 0, waitMillis, deadline());
    }

    private static Append append(Append.Condition condition) {
        return new Append(TOPIC, List.of(new KeyedRecord("key", new byte[1])), condition);
    }

    /** Starts {@code call} on a route that is silent, lets the direct route work again, and returns the outcome. */
    private <T> T callWhileTheDirectRouteComesBack(Relay relay, Supplier<T> call) throws Exception {
        CompletableFuture<T> outcome = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> outcome.complete(call.get()));
        Conditions.await(() -> !relay.calls.isEmpty());
        direct.failure = MemoryLog.Failure.NONE;
        return outcome.get(MAX_CHANGE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns a log that goes through {@code relay} because the direct route has refused a call. */
    private FailoverLog relayedLog(Relay relay) throws Exception {
        FailoverLog log = failoverLog(direct, relay);
        relay.silent = false;
        direct.failure = MemoryLog.Failure.REFUSE;
        assertThat(read(log, 0)).isInstanceOf(ReadOutcome.Records.class);
        relay.silent = true;
        relay.calls.clear();
        return log;
    }

    @Test
    void aReadGoesOnDirectlyOnceThatWorks() throws Exception {
        Relay relay = new Relay();
        FailoverLog log = relayedLog(relay);
        assertThat(callWhileTheDirectRouteComesBack(relay, () -> read(log, WAIT_MILLIS)))
                .isInstanceOf(ReadOutcome.Records.class);
    }

    @Test
    void aPageOfASnapshotIsReadDirectlyOnceThatWorks() throws Exception {
        Relay relay = new Relay();
        FailoverLog log = relayedLog(relay);
        assertThat(callWhileTheDirectRouteComesBack(relay, () -> log.newest(TOPIC, "", deadline())))
                .isInstanceOf(NewestOutcome.Page.class);
    }

    @Test
    void anAppendThatMayBeRepeatedIsMadeDirectlyOnceThatWorks() throws Exception {
        Relay relay = new Relay();
        FailoverLog log = relayedLog(relay);
        Append append = append(new Append.Always());
        assertThat(callWhileTheDirectRouteComesBack(relay, () -> log.append(append, deadline())))
                .isInstanceOf(AppendOutcome.Appended.class);
    }

    /** Guards against two claims of one node with one position: the first may still be carried out. */
    @Test
    void anAppendThatMustNotBeRepeatedIsMadeOnce() throws Exception {
        Relay relay = new Relay();
        FailoverLog log = relayedLog(relay);
        CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
        Append claim = append(new Append.AtEnd(0));
        Thread.ofVirtual().start(() -> outcome.complete(log.append(claim, deadline())));
        Conditions.await(() -> !relay.calls.isEmpty());
        direct.failure = MemoryLog.Failure.NONE;
        assertThat(outcome.get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(AppendOutcome.Unknown.class);
        assertThat(relay.calls).containsExactly("append");
        ReadOutcome.Records records = (ReadOutcome.Records) direct.read(TOPIC, 0, 0, deadline());
        assertThat(records.records()).isEmpty();
    }

    /** Returns a log whose direct route refuses calls, with two relays that answer. */
    private FailoverLog logWithTwoRelays() throws Exception {
        direct.failure = MemoryLog.Failure.REFUSE;
        for (Relay relay : twoRelays) {
            relay.silent = false;
        }
        return failoverLog(direct, twoRelays.get(0), twoRelays.get(1));
    }

    /** Silences the relay that {@code log} uses, and starts a read that goes there. */
    private CompletableFuture<ReadOutcome> readThroughSilentRelay(FailoverLog log) {
        read(log, 0);
        Relay used = twoRelays.get(twoRelays.get(0).calls.isEmpty() ? 1 : 0);
        used.calls.clear();
        used.silent = true;
        CompletableFuture<ReadOutcome> outcome = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> outcome.complete(read(log, WAIT_MILLIS)));
        Conditions.await(() -> !used.calls.isEmpty());
        return outcome;
    }

    @Test
    void aReadLeavesARelayThatAnotherCallHasFoundSilent() throws Exception {
        FailoverLog log = logWithTwoRelays();
        CompletableFuture<ReadOutcome> outcome = readThroughSilentRelay(log);
        assertThat(log.append(append(new Append.Always()), deadline())).isInstanceOf(AppendOutcome.Appended.class);
        assertThat(outcome.get(MAX_CHANGE_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(ReadOutcome.Records.class);
    }

    @Test
    void aReadLeavesASilentRelayAlthoughNoOtherCallIsMade() throws Exception {
        FailoverLog log = logWithTwoRelays();
        CompletableFuture<ReadOutcome> outcome = readThroughSilentRelay(log);
        assertThat(outcome.get(MAX_SILENCE_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(ReadOutcome.Records.class);
    }

    /** Guards against a wait for records, through a relay, in which its silence shows nothing. */
    @Test
    void aRelayHoldsBackAReadBriefly() throws Exception {
        Relay relay = new Relay();
        FailoverLog log = relayedLog(relay);
        relay.silent = false;
        relay.log.readWaits.clear();
        read(log, WAIT_MILLIS);
        assertThat(relay.log.readWaits).hasSize(1);
        assertThat(relay.log.readWaits.get(0)).isAtMost(WAIT_MILLIS / 4);
    }

    /** Guards against a direct route that counts as failing because of a call from before it worked again. */
    @Test
    void anEarlierCallWithoutAnAnswerDoesNotCountAgainstTheDirectRoute() throws Exception {
        Relay link = new Relay();
        Relay relay = new Relay();
        relay.silent = false;
        FailoverLog log = failoverLog(link, relay);
        Thread.ofVirtual().start(() -> read(log, WAIT_MILLIS));
        Conditions.await(() -> !link.calls.isEmpty());
        link.silent = false;
        assertThat(read(log, 0)).isInstanceOf(ReadOutcome.Records.class);
        Clocks.sleep(MAX_SILENCE_MILLIS);
        relay.calls.clear();
        assertThat(read(log, 0)).isInstanceOf(ReadOutcome.Records.class);
        assertThat(relay.calls).isEmpty();
    }
}
