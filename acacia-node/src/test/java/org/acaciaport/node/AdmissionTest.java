package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static org.acaciaport.node.LogAccessFixture.ACCESS;
import static org.acaciaport.node.LogAccessFixture.QUEUE;
import static org.acaciaport.node.LogAccessFixture.TOPIC;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.admission.AdmissionPolicy;
import org.acaciaport.admission.Outlook;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests which submissions a node refuses for the load, against an in-memory log. */
final class AdmissionTest {
    /** Longer than the age from which an outlook is not used, in milliseconds. */
    private static final long TOO_OLD_MILLIS = 1_600;

    private static final SchedulingSettings ON = new SchedulingSettings(false, false, true, false);
    private static final LeaderRecord LEADER = new LeaderRecord("leader", 1, false);

    /** Waits of a minute at each priority: no use for jobs of a second with an objective of 2 s. */
    private static final Outlook FULL = new Outlook(List.of(new Outlook.Service(
            "s", 16_000, 32_768, List.of(new Outlook.Wait(0, List.of(60_000, 60_000, 60_000, 60_000))))));

    private static final Step STEP =
            new Step(2, new Resources(1_000, 1_000, 4), 1_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);

    private final LogAccessFixture fixture = new LogAccessFixture();
    private final JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));

    AdmissionTest() {
        fixture.scheduling = ON;
    }

    @BeforeAll
    static void loadClasses() throws IOException {
        LogAccessFixture.loadClasses();
    }

    private static long deadline() {
        return Clocks.deadlineAfter(5_000);
    }

    private void append(KeyedRecord... records) {
        fixture.log.append(new Append(TOPIC, List.of(records), new Append.Always()), deadline());
    }

    private void read() {
        assertThat(fixture.jobConsumer.catchUp(deadline())).isTrue();
    }

    /** Has the leader publish, and the node read it; declared durations are right. */
    private void publish(Outlook outlook) {
        read();
        append(declaredDurations(100));
        append(JobRecords.encode(LEADER), JobRecords.encode(OutlookRecord.of(outlook)));
        read();
    }

    private static KeyedRecord declaredDurations(int percent) {
        return JobRecords.encode(new DeclaredDurationsRecord(Map.of(QUEUE.name(), percent)));
    }

    private JobService.Answer submit(String id, Step step, Job.Schedule schedule) {
        return jobService.submit(ACCESS, id, "payload", List.of(step), schedule, deadline());
    }

    private JobService.Answer submit(String id) {
        return submit(id, STEP, Job.Schedule.NOW);
    }

    private void assertAccepted(String id) {
        assertThat(submit(id)).isInstanceOf(JobService.Answer.Accepted.class);
    }

    private JobService.Answer.Overloaded assertRefused(String id) {
        JobService.Answer answer = submit(id);
        assertThat(answer).isInstanceOf(JobService.Answer.Overloaded.class);
        return (JobService.Answer.Overloaded) answer;
    }

    private long count(String metric) {
        return fixture.metrics.counter(metric).getCount();
    }

    private List<String> keys() {
        ReadOutcome.Records all = (ReadOutcome.Records) fixture.log.read(TOPIC, 0, 0, deadline());
        List<String> keys = new ArrayList<>();
        all.records().forEach(record -> keys.add(record.key()));
        return keys;
    }

    /** Under a burst, guards against an untrue refusal: one whose job runs, since it was written before. */
    @Test
    void aHopelessJobIsRefusedAndNothingIsWritten() {
        publish(FULL);
        JobService.Answer.Overloaded refused = assertRefused("a");
        assertThat(refused.retryAfterSeconds()).isAtLeast(1);
        assertThat(refused.expectedStartMillis()).isGreaterThan(refused.latestStartMillis());
        assertThat(keys()).doesNotContain("job/a");
        assertThat(count("admission.refused")).isEqualTo(1);
    }

    /** Guards against callers who get two answers: a job is accepted, and its retry refused by a node that lags. */
    @Test
    void aRetryOfAnAcceptedJobIsAcceptedAlsoByANodeThatHasNotReadIt() {
        fixture.scheduling = SchedulingSettings.OFF;
        assertAccepted("a");
        fixture.scheduling = ON;
        publish(FULL);
        assertAccepted("a");
        Job other = new Job("b", "q", "s", "account", QUEUE.terms(), "payload", List.of(STEP), Job.Schedule.NOW, 1);
        append(JobRecords.encode(other));
        assertThat(fixture.replica.find("b")).isNull();
        assertAccepted("b");
        assertThat(keys().stream().filter("job/b"::equals).count()).isEqualTo(1);
    }

    /** Guards against callers that ignore Retry-After and bring the log or the log lines to their limits. */
    @Test
    void callersThatIgnoreRetryAfterWriteNothingAndGainNothing() {
        publish(FULL);
        JobService.Answer.Overloaded first = assertRefused("a");
        for (int i = 0; i < 50; i++) {
            JobService.Answer.Overloaded again = assertRefused("a");
            assertThat(again.latestStartMillis()).isAtMost(first.latestStartMillis());
        }
        assertThat(keys())
                .containsExactly(JobRecords.DECLARED_DURATIONS_KEY, JobRecords.LEADER_KEY, JobRecords.OUTLOOK_KEY);
    }

    /** Guards against refusals on old knowledge, by a node whose leader has stopped writing. */
    @Test
    void anOldOutlookRefusesNothingAndIsLoggedOnce() {
        publish(FULL);
        Clocks.sleep(TOO_OLD_MILLIS);
        read();
        try (LogCapture capture = LogCapture.of(AdmissionControl.class)) {
            for (int i = 0; i < 5; i++) {
                assertAccepted("a" + i);
            }
            assertThat(capture.messagesContaining("outcome=unknown")).hasSize(1);
        }
        assertThat(count("admission.unknown")).isEqualTo(5);
    }

    /** Guards against a log line per request while the outlook alternates between known and unknown. */
    @Test
    void changesOfTheKnowledgeAreLoggedAtMostOncePerSecond() {
        publish(FULL);
        long startNanos = System.nanoTime();
        try (LogCapture capture = LogCapture.of(AdmissionControl.class)) {
            for (int i = 0; i < 10; i++) {
                append(JobRecords.encode(new LeaderRecord("leader" + i, 1, false)));
                read();
                assertAccepted("a" + i);
                append(JobRecords.encode(OutlookRecord.of(FULL)));
                read();
                assertRefused("b" + i);
            }
            long seconds = (System.nanoTime() - startNanos) / (1_000 * Clocks.NANOS_PER_MILLI);
            int lines = capture.messagesContaining("outcome=unknown").size()
                    + capture.messagesContaining("outcome=known").size();
            assertThat(lines).isAtLeast(1);
            assertThat((long) lines).isAtMost(seconds + 1);
        }
    }

    /** Guards against refusals by a node that is cut off from the log, and takes what it read last for the present. */
    @Test
    void aNodeThatIsCutOffDoesNotKnow() {
        publish(FULL);
        assertThat(fixture.replica.knowledge().ageMillis()).isLessThan(TOO_OLD_MILLIS);
        fixture.log.failure = MemoryLog.Failure.REFUSE;
        Clocks.sleep(TOO_OLD_MILLIS);
        assertThat(fixture.replica.knowledge().ageMillis()).isAtLeast(TOO_OLD_MILLIS);
    }

    /** Guards against a node that comes back after a cut and takes an outlook of that time for a new one. */
    @Test
    void anOutlookWrittenDuringACutIsAsOldAsTheCut() {
        publish(Outlook.NO_WAIT);
        append(JobRecords.encode(LEADER), JobRecords.encode(OutlookRecord.of(FULL)));
        Clocks.sleep(TOO_OLD_MILLIS);
        read();
        assertAccepted("a");
        assertThat(count("admission.unknown")).isEqualTo(1);
    }

    @Test
    void anOutlookOfAResignedLeaderRefusesNothing() {
        publish(FULL);
        append(JobRecords.encode(new LeaderRecord("leader", 1, true)));
        read();
        assertAccepted("a");
        assertThat(count("admission.unknown")).isEqualTo(1);
    }

    /** Guards against a new leader that inherits the outlook of the one before. */
    @Test
    void aNewLeaderIsUnknownUntilItPublishes() {
        publish(FULL);
        append(JobRecords.encode(new LeaderRecord("other", 1, false)));
        read();
        assertAccepted("a");
        append(JobRecords.encode(OutlookRecord.of(FULL)));
        read();
        assertRefused("b");
        assertThat(count("admission.unknown")).isEqualTo(1);
    }

    /** Guards against a node that has just started and takes an outlook of any age for a new one. */
    @Test
    void anOutlookOfASnapshotRefusesNothing() {
        append(JobRecords.encode(LEADER), JobRecords.encode(OutlookRecord.of(FULL)));
        read();
        assertAccepted("a");
        assertThat(count("admission.unknown")).isEqualTo(1);
    }

    /** Guards against a node that started in a calm time and does not know so until the next burst. */
    @Test
    void aSnapshotWithoutAWaitIsKnown() {
        append(JobRecords.encode(LEADER), JobRecords.encode(OutlookRecord.of(Outlook.NO_WAIT)));
        read();
        assertAccepted("a");
        assertThat(count("admission.unknown")).isEqualTo(0);
    }

    /** Guards against a node that a malformed or absurd outlook stops, or makes refuse jobs. */
    @Test
    void absurdOutlooksAreLoggedAndIgnored() throws Exception {
        publish(Outlook.NO_WAIT);
        List<Long> beside = List.of(1L, 1L);
        List<List<Integer>> odd = List.of(
                List.of(0, -1, 0, 0, 0),
                List.of(0, Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE),
                List.of(0, 9, 8, 7, 6),
                List.of(0),
                List.of());
        try (LogCapture capture = LogCapture.of(Replica.class)) {
            for (List<Integer> waits : odd) {
                append(JobRecords.encode(
                        new OutlookRecord(List.of(new OutlookRecord.Service("s", beside, List.of(waits))))));
            }
            append(JobRecords.encode(new OutlookRecord(List.of(new OutlookRecord.Service("s", null, null)))));
            append(new KeyedRecord(JobRecords.OUTLOOK_KEY, "nonsense".getBytes(StandardCharsets.UTF_8)));
            read();
            assertThat(capture.messagesContaining("key=outlook")).hasSize(odd.size() + 2);
        }
        assertAccepted("a");
    }

    /** Returns an outlook with a wait of {@code millis} for everything. */
    private static Outlook waitOf(int millis) {
        Outlook.Wait wait = new Outlook.Wait(0, List.of(millis, millis, millis, millis));
        return new Outlook(List.of(new Outlook.Service("s", 16_000, 32_768, List.of(wait))));
    }

    /** Guards against refusals of work whose declared duration is a tenth of the actual one. */
    @Test
    void declaredDurationsCountAsLongAsThoseOfTheQueueLatelyTook() {
        read();
        append(JobRecords.encode(LEADER), JobRecords.encode(OutlookRecord.of(waitOf(60_000))));
        read();
        // The declared second may be ten, with which the job is of use for longer than it waits.
        assertAccepted("a");
        append(declaredDurations(1_000));
        read();
        assertAccepted("b");
        append(declaredDurations(100));
        read();
        assertRefused("c");
    }

    /** Guards against the refusal of work without a declared duration, whose time of use is unknown. */
    @Test
    void jobsWithoutDeclaredDurationsAreNeverRefused() {
        publish(FULL);
        Step step = new Step(2, STEP.demand(), 0, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        assertThat(submit("a", step, Job.Schedule.NOW)).isInstanceOf(JobService.Answer.Accepted.class);
    }

    /** Guards against the refusal of work whose wait does not make it useless. */
    @Test
    void recurringAndLastingJobsAreNeverRefused() {
        publish(FULL);
        Step.Mode lasting = new Step.Mode(false, false, false, true, false, 0);
        Step service = new Step(1, STEP.demand(), 1_000, List.of(), Step.Constraints.NONE, lasting);
        assertThat(submit("a", service, Job.Schedule.NOW)).isInstanceOf(JobService.Answer.Accepted.class);
        assertThat(submit("b", STEP, new Job.Schedule(3, 1, 1_000))).isInstanceOf(JobService.Answer.Accepted.class);
    }

    /** Guards against the refusal of urgent work that the pool owes its account at once. */
    @Test
    void urgentJobsWithinTheGuaranteeOfTheirAccountAreNeverRefused() {
        ConfigurationView configuration =
                new ConfigurationView(record -> new OperatorRecordDecoder.Published(new OperatorConfiguration(
                        1,
                        List.of(QUEUE),
                        Map.of("key", "account"),
                        Map.of("account", AccountTerms.ofGuarantee(16)),
                        Set.of("s"))));
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(Clocks.now(), 1);
        JobService guaranteed = fixture.newJobService(configuration, 60_000);
        publish(FULL);
        for (String id : List.of("a", "b")) {
            assertThat(guaranteed.submit(ACCESS, id, "payload", List.of(STEP), Job.Schedule.NOW, deadline()))
                    .isInstanceOf(JobService.Answer.Accepted.class);
            read();
        }
        assertThat(guaranteed.submit(ACCESS, "c", "payload", List.of(STEP), Job.Schedule.NOW, deadline()))
                .isInstanceOf(JobService.Answer.Overloaded.class);
    }

    /** Guards against refusals that go on after operators have switched them off under load. */
    @Test
    void admissionIsSwitchedOffAtOnce() {
        publish(FULL);
        assertRefused("a");
        fixture.scheduling = SchedulingSettings.OFF;
        assertAccepted("a");
    }

    /** Guards against a refused caller whose key is withdrawn meanwhile and that is served when it returns. */
    @Test
    void aKeyThatIsWithdrawnWhileItsCallerWaitsIsNotServed() {
        List<Map<String, String>> keys = new ArrayList<>(List.of(Map.of("key", "account")));
        ConfigurationView configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
                new OperatorConfiguration(keys.size(), List.of(QUEUE), keys.getLast(), Map.of(), Set.of("s"))));
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(Clocks.now(), 1);
        JobService service = fixture.newJobService(configuration, 60_000);
        publish(FULL);
        JobService.Access.Granted granted = (JobService.Access.Granted) service.authorize("host", "/p/a", "key");
        assertThat(service.submit(granted, "a", "payload", List.of(STEP), Job.Schedule.NOW, deadline()))
                .isInstanceOf(JobService.Answer.Overloaded.class);
        keys.add(Map.of());
        configuration.apply(KeyedRecord.tombstone("config"), 1);
        assertThat(service.authorize("host", "/p/a", "key")).isInstanceOf(JobService.Access.UnknownKey.class);
    }

    /** Guards against a count of wrong refusals that misses those after which capacity became free in time. */
    @Test
    void aRefusedJobThatWouldHaveBeenInTimeIsCountedOnce() {
        RefusedRequests refused = new RefusedRequests();
        AdmissionPolicy.Request request = new AdmissionPolicy.Request("a", "s", 0, List.of(), 1_000, 9_000);
        refused.add(request);
        assertThat(refused.firstAttemptMillis("a", 5_000)).isEqualTo(1_000);
        assertThat(refused.firstAttemptMillis("b", 5_000)).isEqualTo(5_000);
        assertThat(refused.reviewInTime(FULL, 2_000)).isEqualTo(0);
        assertThat(refused.reviewInTime(Outlook.NO_WAIT, 3_000)).isEqualTo(1);
        assertThat(refused.reviewInTime(Outlook.NO_WAIT, 4_000)).isEqualTo(0);
    }
}
