package org.acaciaport.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests how refused callers are spread over time. */
final class RetryTimesTest {
    private static final long NOW_MILLIS = 1_000_000;
    private static final int CALLERS = 1_000;

    private static int seconds(String id, long waitMillis, long usefulForMillis) {
        AdmissionPolicy.Request request =
                new AdmissionPolicy.Request(id, "s", 1, List.of(), NOW_MILLIS, NOW_MILLIS + usefulForMillis);
        return RetryTimes.secondsUntil(RetryTimes.returnMillis(request, waitMillis, 0.5), NOW_MILLIS);
    }

    private static Map<Integer, Integer> callersBySecond(String prefix, long waitMillis, long usefulForMillis) {
        Map<Integer, Integer> callers = new HashMap<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.merge(seconds(prefix + i, waitMillis, usefulForMillis), 1, Integer::sum);
        }
        return callers;
    }

    /** Guards against a burst of refused callers that returns as a burst; their ids differ in the last digits. */
    @Test
    void callersReturnSpreadOverTheTimeInWhichCapacityBecomesFree() {
        Map<Integer, Integer> callers = callersBySecond("restock-000", 40_000, 10_000);
        assertThat(callers.keySet().stream().min(Integer::compare).orElseThrow())
                .isAtLeast(20);
        assertThat(callers.keySet().stream().max(Integer::compare).orElseThrow())
                .isAtMost(40);
        callers.values().forEach(each -> assertThat(each).isLessThan(CALLERS / 10));
    }

    /** Guards against callers that all return in the same second since their wait is short. */
    @Test
    void callersAreSpreadAlsoIfTheWaitIsShort() {
        for (long waitMillis : new long[] {1, 500, 3_000}) {
            Map<Integer, Integer> callers = callersBySecond("a", waitMillis, 0);
            assertThat(callers.keySet().stream().min(Integer::compare).orElseThrow())
                    .isAtLeast(1);
            callers.values().forEach(each -> assertThat(each).isLessThan(CALLERS / 2));
        }
    }

    /** Guards against an account that returns earlier than others since it submits more, or by its ids. */
    @Test
    void accountsReturnAlike() {
        double first = mean("account0-");
        double second = mean("account1-");
        assertThat(Math.abs(first - second)).isLessThan(1.5);
    }

    private static double mean(String prefix) {
        long sum = 0;
        for (int i = 0; i < CALLERS; i++) {
            sum += seconds(prefix + i, 40_000, 10_000);
        }
        return (double) sum / CALLERS;
    }

    /** Guards against callers that are sent away for minutes on an expectation of minutes. */
    @Test
    void noCallerIsSentAwayForLongerThanAMinute() {
        assertThat(seconds("a", Long.MAX_VALUE / 4, 0)).isAtMost(60);
    }
}
