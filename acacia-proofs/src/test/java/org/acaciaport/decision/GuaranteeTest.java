package org.acaciaport.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.junit.jupiter.api.Test;

/** What an account gets when it claims its share of a data centre that another one has filled. */
final class GuaranteeTest {
    private static final Path ROOT = Path.of("..");
    private static final long LONG_RUN_MILLIS = 50_000;

    /** Longest time for messages between the steps of one start, in milliseconds. */
    private static final long MESSAGES_MILLIS = 500;

    @Test
    void claimIsMadeAtOnceAndMetWithinTheBoundInKigali() throws Exception {
        claimIsMet("kigali", "proof", "toolpath");
    }

    @Test
    void claimIsMadeAtOnceAndMetWithinTheBoundInDkVest() throws Exception {
        claimIsMet("dk-vest", "travel-plan", "booking");
    }

    private static void claimIsMet(String deployment, String lent, String claimed) throws Exception {
        Configuration configuration = Deployments.read(ROOT, deployment);
        CellDriver driver =
                new CellDriver(7, configuration, Deployments.first(configuration), Policy.STANDARD, new Rules());
        Profile small = configuration.profile(lent).orElseThrow();
        for (int i = 0; i < 400; i++) {
            driver.submit(configuration.accounts().get(0).name(), small, LONG_RUN_MILLIS);
        }
        driver.advance(driver.now() + 5_000);
        Fleet full = driver.state().fleet();
        assertThat(full.largestFree()).isEqualTo(0);

        Profile gang = configuration.profile(claimed).orElseThrow();
        String request = driver.submit(configuration.accounts().get(1).name(), gang, LONG_RUN_MILLIS);
        Phase first = driver.state().job(request).orElseThrow().phase();
        assertThat(first).isInstanceOf(Phase.Claiming.class);
        driver.advance(driver.now() + Policy.STANDARD.maxReclaimMillis() + MESSAGES_MILLIS);
        assertWithMessage("violations").that(driver.violations()).isEmpty();
        assertThat(driver.state().job(request).orElseThrow().phase()).isInstanceOf(Phase.Running.class);
    }
}
