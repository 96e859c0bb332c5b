package org.acaciaport.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.junit.jupiter.api.Test;

/** Tests that an account gets the accelerators it is guaranteed in a data centre that another account has filled. */
final class GuaranteeTest {
    private static final Path ROOT = Path.of("..");
    private static final long LONG_RUN_MILLIS = 50_000;

    /** Allowance for the delays of the messages that a start takes, beyond the time to reclaim accelerators. */
    private static final long MESSAGE_DELAY_ALLOWANCE_MILLIS = 500;

    @Test
    void claimIsMadeAtOnceAndMetWithinTheBoundInKigali() throws Exception {
        assertClaimIsMet("kigali", "proof", "toolpath");
    }

    @Test
    void claimIsMadeAtOnceAndMetWithinTheBoundInDkVest() throws Exception {
        assertClaimIsMet("dk-vest", "travel-plan", "booking");
    }

    private static void assertClaimIsMet(String deployment, String borrowingProfile, String claimingProfile)
            throws Exception {
        Configuration configuration = Deployments.read(ROOT, deployment);
        CellSimulation simulation = new CellSimulation(
                7, configuration, Deployments.firstDataCentre(configuration), Policy.STANDARD, new Rules());
        Profile borrower = configuration.profile(borrowingProfile).orElseThrow();
        for (int i = 0; i < 400; i++) {
            simulation.submit(configuration.accounts().get(0).name(), borrower, LONG_RUN_MILLIS);
        }
        simulation.advance(simulation.now() + 5_000);
        Fleet fleet = simulation.state().fleet();
        assertThat(fleet.largestFree()).isEqualTo(0);

        Profile gang = configuration.profile(claimingProfile).orElseThrow();
        String request = simulation.submit(configuration.accounts().get(1).name(), gang, LONG_RUN_MILLIS);
        Phase initialPhase = simulation.state().job(request).orElseThrow().phase();
        assertThat(initialPhase).isInstanceOf(Phase.Claiming.class);
        simulation.advance(simulation.now() + Policy.STANDARD.maxReclaimMillis() + MESSAGE_DELAY_ALLOWANCE_MILLIS);
        assertWithMessage("violations").that(simulation.violations()).isEmpty();
        assertThat(simulation.state().job(request).orElseThrow().phase()).isInstanceOf(Phase.Running.class);
    }
}
