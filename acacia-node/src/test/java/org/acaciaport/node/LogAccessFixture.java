package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;

/**
 * An in-memory log with a replica of the jobs in it and services that answer callers. Each test has its own.
 *
 * <p>Not thread-safe; confined to the thread of the test.
 */
final class LogAccessFixture {
    static final String TOPIC = "jobs";
    static final List<Step> STEPS =
            List.of(new Step(1, Resources.NONE, 1, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN));
    static final OperatorConfiguration.Queue QUEUE =
            new OperatorConfiguration.Queue("q", "host", "/p/", "s", false, new Job.Terms(0, 3, 1.5, 250));
    static final JobService.Access.Granted ACCESS = new JobService.Access.Granted(QUEUE, "account", "");

    private static final Topics TOPICS = new Topics(TOPIC, "operators", "targets");

    /** Time within which classes are loaded, in milliseconds. */
    private static final long LOADING_MILLIS = 10_000;

    final MemoryLog log = new MemoryLog();
    final MetricRegistry metrics = new MetricRegistry();

    /** The settings of the services; no part is in use unless a test says otherwise. */
    volatile SchedulingSettings scheduling = SchedulingSettings.OFF;

    final Replica replica = new Replica();
    final TopicConsumer jobConsumer;
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));

    LogAccessFixture() {
        jobConsumer = new TopicConsumer(TOPIC, failoverLog, new TopicConsumer.PollSettings(0, 0), replica);
    }

    /**
     * Loads the classes that encode records, answer requests and read the log, so that this takes no time from the
     * deadline of the first request, whichever test runs first.
     */
    static void loadClasses() throws IOException {
        JobRecords.warmUp();
        LogAccessFixture fixture = new LogAccessFixture();
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        long deadline = Clocks.deadlineAfter(LOADING_MILLIS);
        jobService.submit(ACCESS, "a", "payload", STEPS, Job.Schedule.NOW, deadline);
        fixture.jobConsumer.catchUp(deadline);
    }

    static long shortDeadline() {
        return Clocks.deadlineAfter(300);
    }

    static ConfigurationView newConfiguration() {
        return newConfiguration(Map.of());
    }

    static ConfigurationView newConfiguration(Map<String, AccountTerms> accounts) {
        return new ConfigurationView(record -> new OperatorRecordDecoder.Published(
                new OperatorConfiguration(1, List.of(QUEUE), Map.of("key", "account"), accounts, Set.of("s"))));
    }

    /** Returns a service whose configuration has the terms {@code accounts}. */
    JobService newJobService(Map<String, AccountTerms> accounts) {
        ConfigurationView configuration = newConfiguration(accounts);
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(Clocks.now(), 1);
        return newJobService(configuration, 4_000);
    }

    JobService newJobService(KeyedRecord published) {
        ConfigurationView configuration = newConfiguration();
        configuration.apply(published, 0);
        configuration.caughtUp(Clocks.now(), 1);
        return newJobService(configuration, 4_000);
    }

    /** Returns a service that uses {@code configuration} until it is {@code maxAgeMillis} old, in milliseconds. */
    JobService newJobService(ConfigurationView configuration, long maxAgeMillis) {
        Term.Dependencies dependencies = new Term.Dependencies(
                replica, configuration, null, TOPICS, MemoryLog.LIMITS, failoverLog, null, metrics, () -> scheduling);
        return new JobService(dependencies, jobConsumer, maxAgeMillis);
    }

    static JobService.Answer submit(JobService jobService, String id) {
        return jobService.submit(ACCESS, id, "payload", STEPS, Job.Schedule.NOW, shortDeadline());
    }

    static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }
}
