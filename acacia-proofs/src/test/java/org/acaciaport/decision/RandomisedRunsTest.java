package org.acaciaport.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.acaciaport.config.Configuration;

/**
 * Tests that the invariants hold in simulations with random seeds and random sets of disabled faults.
 *
 * <p>The runs make at least 200,000 decisions in all, and every one is checked. After each run, all faults end and
 * every request must be answered.
 */
final class RandomisedRunsTest {
    private static final Path ROOT = Path.of("..");
    private static final long STEPS_PER_RUN = 8_000;
    private static final long MAX_SETTLE_MILLIS = 7_200_000;
    private static final int RUNS_PER_DEPLOYMENT = 14;

    @Property(tries = RUNS_PER_DEPLOYMENT, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void kigaliKeepsInvariants(@ForAll long seed, @ForAll("faults") Set<Fault> disabledFaults) throws Exception {
        assertInvariantsHold("kigali", seed, disabledFaults);
    }

    @Property(tries = RUNS_PER_DEPLOYMENT, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void dkVestKeepsInvariants(@ForAll long seed, @ForAll("faults") Set<Fault> disabledFaults) throws Exception {
        assertInvariantsHold("dk-vest", seed, disabledFaults);
    }

    @Property(tries = 2, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void sameSeedGivesSameRun(@ForAll long seed) throws Exception {
        assertThat(simulate("kigali", seed, Set.of()).digest())
                .isEqualTo(simulate("kigali", seed, Set.of()).digest());
    }

    @Provide
    Arbitrary<Set<Fault>> faults() {
        return Arbitraries.of(Fault.values()).set().ofMaxSize(Fault.values().length / 2);
    }

    private static void assertInvariantsHold(String deployment, long seed, Set<Fault> disabledFaults) throws Exception {
        CellSimulation simulation = simulate(deployment, seed, disabledFaults);
        String description = deployment + " seed " + seed + " without " + disabledFaults;
        assertWithMessage(description).that(simulation.violations()).isEmpty();
        simulation.settle(MAX_SETTLE_MILLIS);
        assertWithMessage(description + " settling")
                .that(simulation.violations())
                .isEmpty();
        Set<String> unanswered = new TreeSet<>(simulation.accepted().keySet());
        unanswered.removeAll(simulation.answers().keySet());
        assertWithMessage(description + " unanswered").that(unanswered).isEmpty();
    }

    private static CellSimulation simulate(String deployment, long seed, Set<Fault> disabledFaults) throws Exception {
        Configuration configuration = Deployments.read(ROOT, deployment);
        CellSimulation simulation = new CellSimulation(
                seed, configuration, Deployments.firstDataCentre(configuration), Policy.STANDARD, new Rules());
        Map<Fault, Integer> weights = new EnumMap<>(SoakMain.defaultWeights());
        disabledFaults.stream().filter(fault -> fault != Fault.SUBMIT).forEach(weights::remove);
        simulation.run(STEPS_PER_RUN, weights);
        return simulation;
    }
}
