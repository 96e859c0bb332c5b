package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.TargetInfo;

/** A term over an in-memory log. A simulation plays its targets and registers them. */
final class SimulatedTerm {
    static final String SERVICE = "render";

    private static final Topics TOPICS = new Topics("jobs", "operators", "targets");
    private static final String TARGET_PREFIX = "target/";

    final Replica replica = new Replica();

    private final MemoryLog log = new MemoryLog();
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
    private final TopicConsumer jobConsumer =
            new TopicConsumer(TOPICS.jobs(), failoverLog, new TopicConsumer.PollSettings(0, 5), replica);
    private Thread thread;

    /** Hands in a job. */
    void submit(Job job) {
        append(JobRecords.encode(job));
    }

    /** Registers a target with {@code label}, after {@code delayMillis}. */
    void register(String id, long incarnation, String label, long delayMillis) {
        byte[] value = (incarnation + " " + label).getBytes(StandardCharsets.UTF_8);
        Thread.ofVirtual().start(() -> {
            Clocks.sleep(delayMillis);
            append(new KeyedRecord(TARGET_PREFIX + id, value));
        });
    }

    private void append(KeyedRecord record) {
        log.append(new Append(TOPICS.jobs(), List.of(record), new Append.Always()), Clocks.deadlineAfter(5_000));
    }

    /** Starts the term. */
    void lead(TargetCalls fleet) {
        jobConsumer.start();
        assertThat(jobConsumer.catchUp(Clocks.deadlineAfter(5_000))).isTrue();
        ConfigurationView configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
                new OperatorConfiguration(1, List.of(), Map.of(), Map.of(), Set.of(SERVICE))));
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(Clocks.now(), 1);
        configuration.setConfirmer(() -> configuration.caughtUp(Clocks.now(), 1));
        LeaderLogWriter logWriter = new LeaderLogWriter(failoverLog, TOPICS.jobs(), MemoryLog.LIMITS, 5);
        assertThat(logWriter.fenceEarlierTerms(Clocks.now())).isTrue();
        Term.Dependencies dependencies = new Term.Dependencies(
                replica,
                configuration,
                fleet,
                TOPICS,
                MemoryLog.LIMITS,
                failoverLog,
                new TargetRecords(),
                new MetricRegistry(),
                () -> SchedulingSettings.OFF);
        EarlierLeases earlierLeases = EarlierLeases.of(replica, 5);
        Term term = new Term(new LeaderRecord("node", 1, false), 5, logWriter, earlierLeases, dependencies);
        thread = Thread.ofVirtual().start(term::run);
    }

    /** Ends the term. */
    void stop() throws InterruptedException {
        thread.interrupt();
        jobConsumer.stop();
        thread.join();
    }

    /** Decodes the registrations: the id is in the key, the incarnation and the label are in the value. */
    private static final class TargetRecords implements TargetRecordDecoder {
        @Override
        public Optional<String> targetId(KeyedRecord record) {
            return record.key().startsWith(TARGET_PREFIX)
                    ? Optional.of(record.key().substring(TARGET_PREFIX.length()))
                    : Optional.empty();
        }

        @Override
        public Optional<TargetInfo> decodeTarget(KeyedRecord record) {
            String id = record.key().substring(TARGET_PREFIX.length());
            String[] fields = new String(record.value(), StandardCharsets.UTF_8).split(" ", -1);
            Resources capacity = new Resources(32_000, 64_000, 8);
            return Optional.of(new TargetInfo(
                    id,
                    SERVICE,
                    id + ":1",
                    "dc",
                    "rack",
                    Set.of(fields[1]),
                    capacity,
                    false,
                    0,
                    Long.parseLong(fields[0])));
        }
    }
}
