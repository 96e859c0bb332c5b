package org.acaciaport.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which requests are refused, given what a node knows. */
final class AdmissionPolicyTest {
    private static final String SERVICE = "settle";
    private static final long NOW_MILLIS = 1_000_000;

    /** Targets with 16 cores and 32 GB beside each accelerator, as those of the auctions. */
    private static final long CPU_MILLIS = 16_000;

    private static final long MEMORY_MB = 32_768;

    private final AdmissionPolicy policy = new AdmissionPolicy(AdmissionPolicy.Settings.DEFAULT);

    /**
     * The burst of twice the capacity: urgent work may stop the rest, gangs wait for some seconds, and deferrable work
     * for minutes.
     */
    private static final Outlook BURST = new Outlook(List.of(new Outlook.Service(
            SERVICE,
            CPU_MILLIS,
            MEMORY_MB,
            List.of(
                    new Outlook.Wait(0, List.of(250, 250, 250, 500)),
                    new Outlook.Wait(1, List.of(6_000, 6_500, 8_000, 16_000)),
                    new Outlook.Wait(2, List.of(100_000, 100_000, 110_000, 120_000))))));

    private static AdmissionPolicy.Request request(int priority, long usefulForMillis, AdmissionPolicy.Tasks tasks) {
        return new AdmissionPolicy.Request(
                "id", SERVICE, priority, List.of(tasks), NOW_MILLIS, NOW_MILLIS + usefulForMillis);
    }

    private static AdmissionPolicy.Tasks tasks(int count, long cores, long accelerators) {
        return new AdmissionPolicy.Tasks(count, cores * 1_000, 1_000, accelerators);
    }

    private static AdmissionPolicy.Knowledge known(Outlook outlook, long ageMillis) {
        return new AdmissionPolicy.Knowledge(Optional.of(outlook), ageMillis, "");
    }

    private Decision decide(int priority, long usefulForMillis) {
        return policy.decide(request(priority, usefulForMillis, tasks(8, 1, 1)), known(BURST, 400));
    }

    /** Guards against a burst of twice the capacity in which urgent work is refused, or hopeless work is held. */
    @Test
    void inABurstOnlyWorkThatCannotBeOfUseIsRefused() {
        assertThat(decide(0, 9_500)).isEqualTo(new Decision.Admit(NOW_MILLIS + 250));
        assertThat(decide(1, 70_000)).isEqualTo(new Decision.Admit(NOW_MILLIS + 6_500));
        Decision.Reject reject = (Decision.Reject) decide(2, 45_000);
        assertThat(reject.expectedStartMillis()).isEqualTo(NOW_MILLIS + 100_000);
        assertThat(reject.latestStartMillis()).isEqualTo(NOW_MILLIS + 45_000);
        assertThat(reject.retryAtMillis()).isAtLeast(NOW_MILLIS + RetryTimes.MIN_RETRY_MILLIS);
    }

    /** Guards against a refusal on an expectation that may be wrong by half of itself. */
    @Test
    void aRequestIsRefusedOnlyIfItWouldBeLateByMoreThanHalfOfTheWait() {
        assertThat(decide(2, 50_000)).isInstanceOf(Decision.Admit.class);
        assertThat(decide(2, 49_999)).isInstanceOf(Decision.Reject.class);
        assertThat(decide(2, -1_000)).isInstanceOf(Decision.Reject.class);
    }

    /** Guards against a refusal by a node that cannot know the present wait. */
    @Test
    void aNodeThatDoesNotKnowAccepts() {
        AdmissionPolicy.Request hopeless = request(2, 0, tasks(8, 1, 1));
        assertThat(policy.decide(hopeless, known(BURST, 1_500))).isInstanceOf(Decision.Reject.class);
        assertThat(policy.decide(hopeless, known(BURST, 1_501))).isInstanceOf(Decision.AdmitUnknown.class);
        assertThat(policy.decide(hopeless, known(BURST, -1))).isInstanceOf(Decision.AdmitUnknown.class);
        assertThat(policy.decide(hopeless, AdmissionPolicy.Knowledge.unknown("leader resigned")))
                .isEqualTo(new Decision.AdmitUnknown("leader resigned"));
        assertThat(policy.decide(hopeless, new AdmissionPolicy.Knowledge(Optional.empty(), 0, "")))
                .isInstanceOf(Decision.AdmitUnknown.class);
    }

    /** Guards against a refusal while nothing waits, even of a request that is of no use any more. */
    @Test
    void withoutAWaitNothingIsRefused() {
        AdmissionPolicy.Request late = request(2, -60_000, tasks(8, 1, 1));
        assertThat(policy.decide(late, known(Outlook.NO_WAIT, 0))).isInstanceOf(Decision.Admit.class);
        AdmissionPolicy.Request other =
                new AdmissionPolicy.Request("id", "other", 2, late.tasks(), NOW_MILLIS, NOW_MILLIS);
        assertThat(policy.decide(other, known(BURST, 0))).isInstanceOf(Decision.Admit.class);
    }

    /** Guards against gangs of many cores that are weighed by their single accelerator. */
    @Test
    void coresBeyondThoseBesideAnAcceleratorCountAsMore() {
        long few = AdmissionPolicy.expectedWaitMillis(request(1, 0, tasks(13, 16, 1)), BURST);
        long many = AdmissionPolicy.expectedWaitMillis(request(1, 0, tasks(13, 52, 1)), BURST);
        assertThat(few).isEqualTo(6_734);
        assertThat(many).isEqualTo(8_150);
    }

    /** Guards against a priority without an entry that counts as free of waits. */
    @Test
    void aPriorityThatIsNotListedWaitsLikeTheNextHigherOne() {
        assertThat(AdmissionPolicy.expectedWaitMillis(request(7, 0, tasks(1, 1, 1)), BURST))
                .isEqualTo(100_000);
    }
}
