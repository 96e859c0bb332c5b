package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.acaciaport.admission.AdmissionPolicy;
import org.acaciaport.admission.Decision;
import org.acaciaport.admission.Outlook;
import org.acaciaport.admission.RetryTimes;

/**
 * Admission control in a simulation, with outlooks as old as a node has them.
 *
 * <p>Mutable and not thread-safe; confined to one simulation.
 */
final class AdmissionGate implements PoolSimulation.Gate {
    /** Interval between outlooks, in milliseconds. */
    private static final long INTERVAL_MILLIS = 250;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final AdmissionPolicy policy = new AdmissionPolicy(AdmissionPolicy.Settings.DEFAULT);
    private final boolean enforced;

    /** Requests that the policy would refuse, with the time of the first refusal, in milliseconds. */
    final Map<String, Long> refused = new HashMap<>();

    /** Expected wait of each request at its first attempt, in milliseconds. */
    final Map<String, Long> expectedWaits = new HashMap<>();

    private final Map<String, Long> firstAttempts = new HashMap<>();
    private Outlook published = Outlook.NO_WAIT;
    private Outlook next = Outlook.NO_WAIT;
    private long nextMillis;

    /** Creates a gate that refuses, or one that only records what it would refuse. */
    AdmissionGate(boolean enforced) {
        this.enforced = enforced;
    }

    @Override
    public long retryAfterMillis(Pool pool, Job job, ClockReading now) {
        if (now.wallClockMillis() >= nextMillis) {
            published = next;
            next = pool.outlook(now);
            nextMillis = now.wallClockMillis() + INTERVAL_MILLIS;
        }
        AdmissionPolicy.Request request = request(pool, job, now.wallClockMillis());
        expectedWaits.putIfAbsent(job.id(), AdmissionPolicy.expectedWaitMillis(request, published));
        AdmissionPolicy.Knowledge knowledge =
                new AdmissionPolicy.Knowledge(Optional.of(published), INTERVAL_MILLIS, "");
        return switch (policy.decide(request, knowledge)) {
            case Decision.Admit admitted -> 0;
            case Decision.AdmitUnknown unknown -> 0;
            case Decision.Reject rejected -> {
                refused.putIfAbsent(job.id(), now.wallClockMillis());
                int seconds = RetryTimes.secondsUntil(rejected.retryAtMillis(), now.wallClockMillis());
                yield enforced ? seconds * MILLIS_PER_SECOND : 0;
            }
        };
    }

    private AdmissionPolicy.Request request(Pool pool, Job job, long nowMillis) {
        int percent = pool.declaredDurationPercents().getOrDefault(job.queue(), DeclaredDurations.MAX_PERCENT);
        long sinceFirst = nowMillis - firstAttempts.computeIfAbsent(job.id(), id -> nowMillis);
        List<AdmissionPolicy.Tasks> tasks = new ArrayList<>();
        for (Step step : job.steps()) {
            if (step.after().isEmpty()) {
                Resources demand = step.chargedResources();
                tasks.add(new AdmissionPolicy.Tasks(
                        step.count(), demand.cpuMillis(), demand.memoryMb(), demand.accelerators()));
            }
        }
        return new AdmissionPolicy.Request(
                job.id(),
                job.service(),
                job.terms().priority(),
                tasks,
                nowMillis,
                job.latestUsefulStartMillis(percent) - sinceFirst);
    }
}
