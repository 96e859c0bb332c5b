package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.pool.TargetInfo;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays a term whose targets restart under their ids and fall silent, while calls are on their way. Guards against two
 * runs of a task at a time (TWICE), in an order of calls and restarts that no other test has. The property
 * {@code acaciaport.restartSeeds} sets how many seeds are played.
 */
final class RestartSimulationTest {
    private static final Topics TOPICS = new Topics("jobs", "operators", "targets");
    private static final String SERVICE = "render";
    private static final String TARGET_PREFIX = "target/";
    private static final int TARGETS = 6;
    private static final int TASKS = 400;
    private static final int FAULTY_MILLIS = 3_000;

    /** Longest time between two silences, in milliseconds. */
    private static final int MAX_PAUSE_MILLIS = 200;

    /** Longest time for which a target answers nothing, in milliseconds. */
    private static final int MAX_SILENCE_MILLIS = 400;

    /** Longest time until the registration shows a restart, in milliseconds. */
    private static final int MAX_ANNOUNCEMENT_MILLIS = 80;

    private final MemoryLog log = new MemoryLog();
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
    private final Replica replica = new Replica();
    private final TopicConsumer jobConsumer =
            new TopicConsumer(TOPICS.jobs(), failoverLog, new TopicConsumer.PollSettings(0, 5), replica);
    private Thread thread;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("acaciaport.restartSeeds", 3));
    }

    @AfterEach
    void stop() throws InterruptedException {
        thread.interrupt();
        jobConsumer.stop();
        thread.join();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskRunsTwiceAtATime(long seed) {
        Random random = new Random(seed);
        RestartingFleet fleet = new RestartingFleet(
                seed, (id, incarnation) -> register(id, incarnation, random.nextInt(MAX_ANNOUNCEMENT_MILLIS)));
        for (int i = 0; i < TARGETS; i++) {
            fleet.add("t" + i);
        }
        append(JobRecords.encode(newJob()));
        lead(fleet);
        silenceTargets(fleet, random);
        fleet.calm();
        Conditions.await(() -> replica.find("a") != null && replica.find("a").state() == JobState.DONE);
        assertWithMessage("seed " + seed).that(fleet.overlaps).isEmpty();
        assertThat(fleet.startsInNextIncarnation).isGreaterThan(0);
    }

    private static void silenceTargets(RestartingFleet fleet, Random random) {
        long deadline = Clocks.deadlineAfter(FAULTY_MILLIS);
        while (Clocks.millisUntil(deadline) > 0) {
            Clocks.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            fleet.silence("t" + random.nextInt(TARGETS), random.nextInt(MAX_SILENCE_MILLIS));
        }
    }

    /** Registers a target after {@code delayMillis}. */
    private void register(String id, long incarnation, long delayMillis) {
        byte[] value = Long.toString(incarnation).getBytes(StandardCharsets.UTF_8);
        Thread.ofVirtual().start(() -> {
            Clocks.sleep(delayMillis);
            append(new KeyedRecord(TARGET_PREFIX + id, value));
        });
    }

    private void append(KeyedRecord record) {
        log.append(new Append(TOPICS.jobs(), List.of(record), new Append.Always()), Clocks.deadlineAfter(5_000));
    }

    private static Job newJob() {
        Step step =
                new Step(TASKS, new Resources(1_000, 1_000, 1), 300, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(1, 3, 1.5, 250);
        return new Job("a", "queue", SERVICE, "account", terms, "payload", List.of(step), Job.Schedule.NOW, 1);
    }

    private void lead(RestartingFleet fleet) {
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

    /** Decodes the registrations: the id is in the key, and the value is the incarnation. */
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
            long incarnation = Long.parseLong(new String(record.value(), StandardCharsets.UTF_8));
            Resources capacity = new Resources(32_000, 64_000, 8);
            return Optional.of(
                    new TargetInfo(id, SERVICE, id + ":1", "dc", "rack", Set.of(), capacity, false, 0, incarnation));
        }
    }
}
