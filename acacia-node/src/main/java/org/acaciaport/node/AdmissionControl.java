package org.acaciaport.node;

import com.codahale.metrics.Counter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.acaciaport.admission.AdmissionPolicy;
import org.acaciaport.admission.Decision;
import org.acaciaport.admission.RetryTimes;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.jboss.logging.Logger;

/**
 * Decides on this node whether a submitted job can be of use, from the outlook that the leader publishes.
 *
 * <p>Thread-safe. Writes nothing to the log of the deployment. A job of priority 0 of an account within its guarantee,
 * a recurring job, a lasting one and one without declared durations are never refused. Declared durations count as
 * long as those of the queue lately turned out to be.
 */
final class AdmissionControl {
    private static final Logger LOG = Logger.getLogger(AdmissionControl.class);

    /** Shortest time between log lines about the knowledge, in nanoseconds: its age may alternate around the limit. */
    private static final long LOG_INTERVAL_NANOS = 1_000 * Clocks.NANOS_PER_MILLI;

    private final AdmissionPolicy policy = new AdmissionPolicy(AdmissionPolicy.Settings.DEFAULT);
    private final RefusedRequests refusedRequests = new RefusedRequests();
    private final Replica replica;
    private final ConfigurationView configuration;
    private final Supplier<SchedulingSettings> settings;
    private final Counter refused;
    private final Counter unknown;
    private final Counter refusedInTime;

    /** Why the outlook was unknown at the last decision; empty if it was known. */
    private String unknownReason = "";

    private long nextLogNanos = System.nanoTime();

    /** Number of jobs accepted without knowledge since the last such log line. */
    private long acceptedUnknown;

    AdmissionControl(Term.Dependencies dependencies) {
        replica = dependencies.replica();
        configuration = dependencies.configuration();
        settings = dependencies.scheduling();
        refused = dependencies.metrics().counter("admission.refused");
        unknown = dependencies.metrics().counter("admission.unknown");
        refusedInTime = dependencies.metrics().counter("admission.refused-in-time");
    }

    /**
     * The refusal of a job.
     *
     * @param request the request
     * @param account its client account
     * @param reject the decision
     * @param ageMillis age of the knowledge that it rests on, in milliseconds
     */
    record Refusal(AdmissionPolicy.Request request, String account, Decision.Reject reject, long ageMillis) {}

    /** Returns the refusal of {@code job}, which is submitted now; empty if it is to be accepted. */
    Optional<Refusal> findRefusal(Job job) {
        if (!settings.get().admission() || !isSubject(job)) {
            return Optional.empty();
        }
        AdmissionPolicy.Knowledge knowledge = replica.knowledge();
        AdmissionPolicy.Request request = toRequest(job);
        Decision decision = policy.decide(request, knowledge);
        recordKnowledge(decision, request, knowledge);
        return switch (decision) {
            case Decision.Admit admitted -> Optional.empty();
            case Decision.AdmitUnknown admitted -> Optional.empty();
            case Decision.Reject reject when isWithinGuarantee(job) -> Optional.empty();
            case Decision.Reject reject ->
                Optional.of(new Refusal(request, job.account(), reject, knowledge.ageMillis()));
        };
    }

    private static boolean isSubject(Job job) {
        if (job.schedule().times() != 0) {
            return false;
        }
        for (Step step : job.steps()) {
            // Without a declared duration, the time for which a job is of use is unknown.
            if (step.mode().lasting() || step.estimateMillis() <= 0) {
                return false;
            }
        }
        return true;
    }

    private AdmissionPolicy.Request toRequest(Job job) {
        List<AdmissionPolicy.Tasks> tasks = new ArrayList<>();
        for (Step step : job.steps()) {
            if (step.after().isEmpty()) {
                Resources demand = step.chargedResources();
                tasks.add(new AdmissionPolicy.Tasks(
                        step.count(), demand.cpuMillis(), demand.memoryMb(), demand.accelerators()));
            }
        }
        int percent = replica.declaredDurationPercents().getOrDefault(job.queue(), DeclaredDurationsRecord.MAX_PERCENT);
        long nowMillis = job.acceptedMillis();
        long firstMillis = refusedRequests.firstAttemptMillis(job.id(), nowMillis);
        return new AdmissionPolicy.Request(
                job.id(),
                job.service(),
                job.terms().priority(),
                tasks,
                nowMillis,
                job.latestUsefulStartMillis(percent) - (nowMillis - firstMillis));
    }

    /** Returns whether the pool owes the job an immediate start, as its account needs no more than its guarantee. */
    private boolean isWithinGuarantee(Job job) {
        OperatorConfiguration latest = configuration.latest();
        if (job.terms().priority() != 0 || latest == null) {
            return false;
        }
        AccountTerms terms = latest.accounts().getOrDefault(job.account(), AccountTerms.NONE);
        long guaranteed = terms.guaranteedAccelerators();
        long needed = job.largestStepAccelerators(terms);
        return needed <= guaranteed && needed + replica.urgentAccelerators(job.account(), terms) <= guaranteed;
    }

    /** Counts a decision without knowledge, and logs that the knowledge is lost or there again. */
    private synchronized void recordKnowledge(
            Decision decision, AdmissionPolicy.Request request, AdmissionPolicy.Knowledge knowledge) {
        String reason = decision instanceof Decision.AdmitUnknown admitted ? admitted.reason() : "";
        long nowNanos = System.nanoTime();
        if (!reason.equals(unknownReason) && nowNanos - nextLogNanos >= 0) {
            nextLogNanos = nowNanos + LOG_INTERVAL_NANOS;
            LOG.infof(
                    "admission: request=%s priority=%s outcome=%s age_ms=%s reason=%s accepted_unknown=%s",
                    request.id(),
                    request.priority(),
                    reason.isEmpty() ? "known" : "unknown",
                    knowledge.ageMillis(),
                    reason.isEmpty() ? unknownReason : reason,
                    acceptedUnknown);
            unknownReason = reason;
            acceptedUnknown = 0;
        }
        if (!reason.isEmpty()) {
            acceptedUnknown++;
            unknown.inc();
            return;
        }
        knowledge
                .outlook()
                .ifPresent(outlook -> refusedInTime.inc(refusedRequests.reviewInTime(outlook, request.nowMillis())));
    }

    /** Records that a job is refused, and returns the answer to its caller. */
    JobService.Answer.Overloaded refuse(Refusal refusal) {
        AdmissionPolicy.Request request = refusal.request();
        Decision.Reject reject = refusal.reject();
        int retryAfterSeconds = RetryTimes.secondsUntil(reject.retryAtMillis(), request.nowMillis());
        refusedRequests.add(request);
        refused.inc();
        LOG.infof(
                "admission: request=%s account=%s priority=%s outcome=refused expected_wait_ms=%s useful_for_ms=%s"
                        + " age_ms=%s retry_after=%s",
                request.id(),
                refusal.account(),
                request.priority(),
                reject.expectedStartMillis() - request.nowMillis(),
                reject.latestStartMillis() - request.nowMillis(),
                refusal.ageMillis(),
                retryAfterSeconds);
        return new JobService.Answer.Overloaded(
                reject.reason(), reject.expectedStartMillis(), reject.latestStartMillis(), retryAfterSeconds);
    }
}
