package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays a term whose targets crash, mostly idle, and come back under their ids as targets of another kind, while jobs
 * come in. Guards against a task on a target without the label that it requires (ROUTE). The property
 * {@code acaciaport.kindSeeds} sets how many seeds are played.
 */
final class OtherKindSimulationTest {
    private static final List<String> KINDS = List.of("a", "b", "c");
    private static final int TARGETS = 6;
    private static final int FAULTY_MILLIS = 6_000;

    /** Longest time from the jobs that come in to the next crash, in milliseconds. */
    private static final int MAX_REST_MILLIS = 600;

    /** Shortest time for which a crashed target is away, in milliseconds; longer than an answer of it counts. */
    private static final long MIN_AWAY_MILLIS = IncarnationCheck.MAX_ANSWER_AGE_MILLIS + 50;

    private static final int MAX_MORE_AWAY_MILLIS = 300;

    /** Longest time until the registration shows a restart, in milliseconds. */
    private static final int MAX_ANNOUNCEMENT_MILLIS = 200;

    private final SimulatedTerm term = new SimulatedTerm();

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("acaciaport.kindSeeds", 3));
    }

    @AfterEach
    void stop() throws InterruptedException {
        term.stop();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskRunsOnATargetOfAnotherKind(long seed) {
        Random random = new Random(seed);
        ChangingFleet fleet = new ChangingFleet(seed);
        for (int i = 0; i < TARGETS; i++) {
            start(fleet, "t" + i, KINDS.get(i % KINDS.size()), 0);
        }
        term.lead(fleet);
        List<String> jobs = new ArrayList<>();
        long deadline = Clocks.deadlineAfter(FAULTY_MILLIS);
        while (Clocks.millisUntil(deadline) > 0) {
            changeTarget(fleet, "t" + random.nextInt(TARGETS), random);
            Clocks.sleep(random.nextInt(MAX_ANNOUNCEMENT_MILLIS));
            submitJobs(jobs);
            Clocks.sleep(random.nextInt(MAX_REST_MILLIS));
        }
        for (int i = 0; i < KINDS.size(); i++) {
            fleet.crash("t" + i);
        }
        Clocks.sleep(MIN_AWAY_MILLIS);
        for (int i = 0; i < KINDS.size(); i++) {
            start(fleet, "t" + i, KINDS.get(i), 0);
        }
        Conditions.await(() -> jobs.stream()
                .allMatch(id ->
                        term.replica.find(id) != null && term.replica.find(id).state() == JobState.DONE));
        assertWithMessage("seed " + seed).that(fleet.misplaced).isEmpty();
        assertThat(fleet.started).isAtLeast(jobs.size());
    }

    private void start(ChangingFleet fleet, String id, String kind, int announcementMillis) {
        term.register(id, fleet.start(id, kind), kind, announcementMillis);
    }

    /** Lets a target crash and come back as one of another kind. */
    private void changeTarget(ChangingFleet fleet, String id, Random random) {
        fleet.crash(id);
        Clocks.sleep(MIN_AWAY_MILLIS + random.nextInt(MAX_MORE_AWAY_MILLIS));
        String kind = KINDS.get(random.nextInt(KINDS.size()));
        start(fleet, id, kind, random.nextInt(MAX_ANNOUNCEMENT_MILLIS));
    }

    /** Submits jobs that need as many targets as there were of each kind. Their ids begin with the kind. */
    private void submitJobs(List<String> ids) {
        for (int i = 0; i < TARGETS; i++) {
            String kind = KINDS.get(i % KINDS.size());
            ids.add(kind + ids.size());
            term.submit(newJob(ids.get(ids.size() - 1), kind));
        }
    }

    private static Job newJob(String id, String kind) {
        Step.Constraints constraints = new Step.Constraints(kind, "", 0, false);
        Step step = new Step(1, new Resources(20_000, 20_000, 5), 50, List.of(), constraints, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(1, 3, 1.5, 250);
        return new Job(
                id, "queue", SimulatedTerm.SERVICE, "account", terms, "payload", List.of(step), Job.Schedule.NOW, 1);
    }
}
