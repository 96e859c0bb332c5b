package org.acaciaport.decision;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.acaciaport.decision.Violation.Invariant;
import org.junit.jupiter.api.Test;

/**
 * Tests the invariant checks by mutation: disables one rule at a time and requires that the simulation detects a
 * violation of the invariant that the rule upholds.
 *
 * <p>{@link RandomisedRunsTest} requires that there is no violation while all rules are in force.
 */
final class MissingRuleTest {
    private static final Path ROOT = Path.of("..");
    private static final long STEPS_PER_SEED = 10_000;
    private static final int MAX_SEEDS = 60;

    @Test
    void placingBeyondCapacityIsDetected() throws Exception {
        assertDetected(Invariant.CAPACITY, new Rules() {
            @Override
            boolean fits(TargetState target, int units) {
                return true;
            }
        });
    }

    @Test
    void placingIrrevocableWorkOnGuaranteedUnitsIsDetected() throws Exception {
        assertDetected(Invariant.GUARANTEE, new Rules() {
            @Override
            boolean preservesGuarantees(TargetState target, String account, int units) {
                return true;
            }
        });
    }

    @Test
    void notPreemptingForClaimsIsDetected() throws Exception {
        assertDetected(Invariant.RECLAIM_BOUND, new Rules() {
            @Override
            boolean preemptionEnabled() {
                return false;
            }
        });
    }

    @Test
    void backfillingBeyondTheDeadlineIsDetected() throws Exception {
        assertDetected(Invariant.LARGE_JOB_BOUND, new Rules() {
            @Override
            boolean mayBackfill(boolean drainBlocked, boolean endsInTime) {
                return true;
            }
        });
    }

    @Test
    void startingGangsWithoutReservationsIsDetected() throws Exception {
        assertDetected(Invariant.GANG_WHOLE, new Rules() {
            @Override
            boolean requiresReservation(Profile profile) {
                return false;
            }
        });
    }

    @Test
    void leavingPartialGangsRunningIsDetected() throws Exception {
        assertDetected(Invariant.GANG_WHOLE, new Rules() {
            @Override
            boolean stopsPartialGangs() {
                return false;
            }
        });
    }

    @Test
    void startingWithoutAPermitIsDetected() throws Exception {
        assertDetected(Invariant.PERMIT, new Rules() {
            @Override
            boolean mayStart(CellState state, StartGate gate, long now) {
                return true;
            }
        });
    }

    @Test
    void startingOnLeavingTargetsIsDetected() throws Exception {
        assertDetected(Invariant.LEAVING, new Rules() {
            @Override
            boolean appliesLeavingList() {
                return false;
            }
        });
    }

    /** The log rejects a second intent too, so that check is disabled as well. */
    @Test
    void runningNonIdempotentWorkAgainIsDetected() throws Exception {
        Rules rules = new Rules() {
            @Override
            boolean mayRunAgain(Job job) {
                return true;
            }
        };
        assertDetected(Invariant.AT_MOST_ONCE, rules, CellSimulation::acceptDuplicateIntents);
    }

    @Test
    void startingWithoutAnIntentIsDetected() throws Exception {
        assertDetected(Invariant.AT_MOST_ONCE, new Rules() {
            @Override
            boolean requiresIntent(Profile profile) {
                return false;
            }
        });
    }

    @Test
    void ignoringPrecedenceIsDetected() throws Exception {
        assertDetected(Invariant.PRECEDENCE, new Rules() {
            @Override
            boolean waitsFor(Profile profile, Profile other) {
                return false;
            }
        });
    }

    @Test
    void answeringStartedWorkAsNotRunIsDetected() throws Exception {
        assertDetected(Invariant.NOT_RUN_TRUE, new Rules() {
            @Override
            boolean neverStarted(Job job) {
                return true;
            }
        });
    }

    @Test
    void applyingAnOlderRevisionIsDetected() throws Exception {
        assertDetected(Invariant.REVISION, new Rules() {
            @Override
            boolean replaces(ActiveConfiguration next, ActiveConfiguration previous) {
                return true;
            }
        });
    }

    private static void assertDetected(Invariant invariant, Rules rules) throws Exception {
        assertDetected(invariant, rules, simulation -> {});
    }

    private static void assertDetected(Invariant invariant, Rules rules, Consumer<CellSimulation> setup)
            throws Exception {
        Configuration configuration = Deployments.read(ROOT, "kigali");
        List<String> violatedInvariants = new ArrayList<>();
        for (long seed = 1; seed <= MAX_SEEDS; seed++) {
            CellSimulation simulation = new CellSimulation(
                    seed, configuration, Deployments.firstDataCentre(configuration), Policy.STANDARD, rules);
            setup.accept(simulation);
            simulation.run(STEPS_PER_SEED, SoakMain.defaultWeights());
            simulation
                    .violations()
                    .forEach(v -> violatedInvariants.add(v.invariant().name()));
            if (violatedInvariants.contains(invariant.name())) {
                System.out.println(
                        invariant + " detected with seed " + seed + " after " + simulation.steps() + " steps");
                return;
            }
        }
        assertWithMessage("violated invariants").that(violatedInvariants).contains(invariant.name());
    }
}
