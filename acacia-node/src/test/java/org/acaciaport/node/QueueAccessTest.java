package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static org.acaciaport.node.LogAccessFixture.STEPS;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobState;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests who may ask for and cancel jobs while operators make their queue public or keyed. */
final class QueueAccessTest {
    private static final String PATH = "/p/a";

    private final LogAccessFixture fixture = new LogAccessFixture();
    private final AtomicReference<OperatorConfiguration> published = new AtomicReference<>();
    private ConfigurationView configuration;
    private JobService jobService;

    @BeforeAll
    static void loadClasses() throws IOException {
        LogAccessFixture.loadClasses();
    }

    @BeforeEach
    void start() {
        configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(published.get()));
        jobService = fixture.newJobService(configuration, 60_000);
    }

    /** Publishes a version in which the queue is public or keyed, beside a public one of the prefix {@code /other/}. */
    private void publish(long version, boolean isPublic) {
        Job.Terms terms = new Job.Terms(0, 3, 1.5, 250);
        List<OperatorConfiguration.Queue> queues = List.of(
                new OperatorConfiguration.Queue("q", "host", "/p/", "s", isPublic, terms),
                new OperatorConfiguration.Queue("other", "host", "/other/", "s", true, terms));
        Map<String, String> accounts = Map.of("key", "account", "other-key", "other");
        published.set(new OperatorConfiguration(version, queues, accounts, Map.of(), Set.of("s")));
        configuration.apply(new KeyedRecord("config", new byte[] {1}), version);
        configuration.caughtUp(Clocks.now(), version + 1);
    }

    private JobService.Access.Granted access(String path, String key) {
        return (JobService.Access.Granted) jobService.authorize("host", path, key);
    }

    private void submit(String key) {
        long deadline = LogAccessFixture.shortDeadline();
        assertThat(jobService.submit(access(PATH, key), "a", "payload", STEPS, Job.Schedule.NOW, deadline))
                .isInstanceOf(JobService.Answer.Accepted.class);
    }

    private JobService.Answer query(String path, String key) {
        return jobService.queryState(access(path, key), "a", LogAccessFixture.shortDeadline());
    }

    private JobService.Answer cancel(String path, String key) {
        return jobService.cancel(access(path, key), "a", LogAccessFixture.shortDeadline());
    }

    /** Guards against jobs that are unknown (LOST) to their callers, who need no key any more. */
    @Test
    void aJobOfAQueueThatBecamePublicIsShownWithoutAKey() {
        publish(1, false);
        submit("key");
        publish(2, true);
        assertThat(query(PATH, null)).isEqualTo(new JobService.Answer.State(JobState.QUEUED));
        assertThat(query(PATH, "key")).isEqualTo(new JobService.Answer.State(JobState.QUEUED));
        assertThat(cancel(PATH, null)).isInstanceOf(JobService.Answer.Accepted.class);
    }

    /** Guards against jobs that are unknown (LOST) to their callers, who need a key now. */
    @Test
    void aJobOfAQueueThatBecameKeyedIsShownWithAKey() {
        publish(1, true);
        submit(null);
        publish(2, false);
        assertThat(query(PATH, "key")).isEqualTo(new JobService.Answer.State(JobState.QUEUED));
        assertThat(jobService.authorize("host", PATH, null)).isInstanceOf(JobService.Access.UnknownKey.class);
        assertThat(cancel(PATH, "key")).isInstanceOf(JobService.Answer.Accepted.class);
    }

    /** Guards against jobs that are open to accounts, or by queues, which they never belonged to. */
    @Test
    void aJobStaysHiddenFromOtherAccountsAndQueues() {
        publish(1, false);
        submit("key");
        publish(2, true);
        assertThat(query(PATH, "other-key")).isInstanceOf(JobService.Answer.NoJob.class);
        assertThat(cancel(PATH, "other-key")).isInstanceOf(JobService.Answer.NoJob.class);
        assertThat(query("/other/a", null)).isInstanceOf(JobService.Answer.NoJob.class);
        assertThat(cancel("/other/a", null)).isInstanceOf(JobService.Answer.NoJob.class);
        publish(3, false);
        assertThat(query(PATH, "key")).isEqualTo(new JobService.Answer.State(JobState.QUEUED));
    }
}
