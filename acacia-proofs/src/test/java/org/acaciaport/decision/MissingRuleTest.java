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

/** Each rule is left out in turn; the invariant that it serves must notice, and must not without the change. */
final class MissingRuleTest {
    private static final Path ROOT = Path.of("..");
    private static final long STEPS = 10_000;
    private static final int SEEDS = 60;

    @Test
    void placingBeyondCapacityIsNoticed() throws Exception {
        noticed(Invariant.CAPACITY, new Rules() {
            @Override
            boolean fits(TargetState target, int units) {
                return true;
            }
        });
    }

    @Test
    void takingWhatOthersOwnIsNoticed() throws Exception {
        noticed(Invariant.GUARANTEE, new Rules() {
            @Override
            boolean preservesGuarantees(TargetState target, String account, int units) {
                return true;
            }
        });
    }

    @Test
    void notTakingWorkOffForClaimsIsNoticed() throws Exception {
        noticed(Invariant.RECLAIM_BOUND, new Rules() {
            @Override
            boolean preemptionEnabled() {
                return false;
            }
        });
    }

    @Test
    void lendingSetAsidePlacesForeverIsNoticed() throws Exception {
        noticed(Invariant.LARGE_JOB_BOUND, new Rules() {
            @Override
            boolean mayBackfill(boolean drainBlocked, boolean endsInTime) {
                return true;
            }
        });
    }

    @Test
    void startingGangsWithoutReservationsIsNoticed() throws Exception {
        noticed(Invariant.GANG_WHOLE, new Rules() {
            @Override
            boolean requiresReservation(Profile profile) {
                return false;
            }
        });
    }

    @Test
    void leavingBrokenGangsRunningIsNoticed() throws Exception {
        noticed(Invariant.GANG_WHOLE, new Rules() {
            @Override
            boolean stopsPartialGangs() {
                return false;
            }
        });
    }

    @Test
    void startingWithoutAPermitIsNoticed() throws Exception {
        noticed(Invariant.PERMIT, new Rules() {
            @Override
            boolean mayStart(CellState state, StartGate gate, long now) {
                return true;
            }
        });
    }

    @Test
    void startingOnLeavingTargetsIsNoticed() throws Exception {
        noticed(Invariant.LEAVING, new Rules() {
            @Override
            boolean appliesLeavingList() {
                return false;
            }
        });
    }

    /** The log refuses a second intent, so both have to be missing. */
    @Test
    void runningNonIdempotentWorkAgainIsNoticed() throws Exception {
        Rules rules = new Rules() {
            @Override
            boolean mayRunAgain(Job job) {
                return true;
            }
        };
        noticed(Invariant.AT_MOST_ONCE, rules, CellDriver::letLogTakeAnything);
    }

    @Test
    void startingWithoutAnIntentIsNoticed() throws Exception {
        noticed(Invariant.AT_MOST_ONCE, new Rules() {
            @Override
            boolean requiresIntent(Profile profile) {
                return false;
            }
        });
    }

    @Test
    void ignoringPrecedenceIsNoticed() throws Exception {
        noticed(Invariant.PRECEDENCE, new Rules() {
            @Override
            boolean waitsFor(Profile profile, Profile other) {
                return false;
            }
        });
    }

    @Test
    void claimingThatStartedWorkDidNotRunIsNoticed() throws Exception {
        noticed(Invariant.NOT_RUN_TRUE, new Rules() {
            @Override
            boolean neverStarted(Job job) {
                return true;
            }
        });
    }

    @Test
    void goingBackToAnOlderRevisionIsNoticed() throws Exception {
        noticed(Invariant.REVISION, new Rules() {
            @Override
            boolean replaces(ActiveConfiguration next, ActiveConfiguration previous) {
                return true;
            }
        });
    }

    private static void noticed(Invariant invariant, Rules rules) throws Exception {
        noticed(invariant, rules, driver -> {});
    }

    private static void noticed(Invariant invariant, Rules rules, Consumer<CellDriver> change) throws Exception {
        Configuration configuration = Deployments.read(ROOT, "kigali");
        List<String> seen = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            CellDriver driver =
                    new CellDriver(seed, configuration, Deployments.first(configuration), Policy.STANDARD, rules);
            change.accept(driver);
            driver.run(STEPS, SoakMain.weights());
            driver.violations().forEach(v -> seen.add(v.invariant().name()));
            if (seen.contains(invariant.name())) {
                System.out.println(invariant + " noticed with seed " + seed + " after " + driver.steps() + " steps");
                return;
            }
        }
        assertWithMessage("invariants noticed").that(seen).contains(invariant.name());
    }
}
