package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

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
 * Plays a term whose targets restart under their ids and fall silent, while calls are on their way. Guards against two
 * runs of a task at a time (TWICE), in an order of calls and restarts that no other test has. The property
 * {@code acaciaport.restartSeeds} sets how many seeds are played.
 */
final class RestartSimulationTest {
    private static final int TARGETS = 6;
    private static final int TASKS = 400;
    private static final int FAULTY_MILLIS = 3_000;

    /** Longest time between two silences, in milliseconds. */
    private static final int MAX_PAUSE_MILLIS = 200;

    /** Longest time for which a target answers nothing, in milliseconds. */
    private static final int MAX_SILENCE_MILLIS = 400;

    /** Longest time until the registration shows a restart, in milliseconds. */
    private static final int MAX_ANNOUNCEMENT_MILLIS = 80;

    private final SimulatedTerm term = new SimulatedTerm();

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("acaciaport.restartSeeds", 3));
    }

    @AfterEach
    void stop() throws InterruptedException {
        term.stop();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskRunsTwiceAtATime(long seed) {
        Random random = new Random(seed);
        RestartingFleet fleet = new RestartingFleet(
                seed, (id, incarnation) -> term.register(id, incarnation, "", random.nextInt(MAX_ANNOUNCEMENT_MILLIS)));
        for (int i = 0; i < TARGETS; i++) {
            fleet.add("t" + i);
        }
        term.submit(newJob());
        term.lead(fleet);
        silenceTargets(fleet, random);
        fleet.calm();
        Conditions.await(
                () -> term.replica.find("a") != null && term.replica.find("a").state() == JobState.DONE);
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

    private static Job newJob() {
        Step step =
                new Step(TASKS, new Resources(1_000, 1_000, 1), 300, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(1, 3, 1.5, 250);
        return new Job(
                "a", "queue", SimulatedTerm.SERVICE, "account", terms, "payload", List.of(step), Job.Schedule.NOW, 1);
    }
}
