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

/** Randomised runs with any mix of faults, at least 200,000 decisions in all, every one checked. */
final class RandomisedRunsTest {
    private static final Path ROOT = Path.of("..");
    private static final long STEPS = 8_000;
    private static final long SETTLE_MILLIS = 7_200_000;
    private static final int TRIES = 14;

    @Property(tries = TRIES, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void kigaliKeepsItsPromises(@ForAll long seed, @ForAll("faults") Set<Fault> left) throws Exception {
        check("kigali", seed, left);
    }

    @Property(tries = TRIES, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void dkVestKeepsItsPromises(@ForAll long seed, @ForAll("faults") Set<Fault> left) throws Exception {
        check("dk-vest", seed, left);
    }

    @Property(tries = 2, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void theSameSeedGivesTheSameRun(@ForAll long seed) throws Exception {
        assertThat(run("kigali", seed, Set.of()).digest())
                .isEqualTo(run("kigali", seed, Set.of()).digest());
    }

    @Provide
    Arbitrary<Set<Fault>> faults() {
        return Arbitraries.of(Fault.values()).set().ofMaxSize(Fault.values().length / 2);
    }

    private static void check(String deployment, long seed, Set<Fault> left) throws Exception {
        CellDriver driver = run(deployment, seed, left);
        String run = deployment + " seed " + seed + " without " + left;
        assertWithMessage(run).that(driver.violations()).isEmpty();
        driver.settle(SETTLE_MILLIS);
        assertWithMessage(run + " settling").that(driver.violations()).isEmpty();
        Set<String> unanswered = new TreeSet<>(driver.accepted().keySet());
        unanswered.removeAll(driver.answers().keySet());
        assertWithMessage(run + " unanswered").that(unanswered).isEmpty();
    }

    private static CellDriver run(String deployment, long seed, Set<Fault> left) throws Exception {
        Configuration configuration = Deployments.read(ROOT, deployment);
        CellDriver driver =
                new CellDriver(seed, configuration, Deployments.first(configuration), Policy.STANDARD, new Rules());
        Map<Fault, Integer> weights = new EnumMap<>(SoakMain.weights());
        left.stream().filter(fault -> fault != Fault.SUBMIT).forEach(weights::remove);
        driver.run(STEPS, weights);
        return driver;
    }
}
