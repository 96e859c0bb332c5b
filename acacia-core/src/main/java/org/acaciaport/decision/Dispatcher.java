package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.acaciaport.config.Profile;

/**
 * Places queued jobs: the account that occupies the fewest accelerators first, and within an account the job with the
 * highest effective priority first.
 *
 * <p>Effective priority grows with waiting time, but never lets a job overtake a profile with strict precedence over
 * its own. Not thread-safe; each instance serves a single decision.
 */
final class Dispatcher {
    private static final String PART = "place";

    private final Draft draft;

    /** Queues, named {@code account/profile}, whose first job could not be placed in the current pass. */
    private final Set<String> exhausted = new HashSet<>();

    Dispatcher(Draft draft) {
        this.draft = draft;
    }

    /** Runs dispatch passes until the decision requests no further one. */
    void run() {
        while (draft.takeDispatchRequest()) {
            exhausted.clear();
            for (String target : draft.targets().takeFreedTargets()) {
                advanceClaims(target);
            }
            if (!draft.active().inService(draft.state().dataCentre())) {
                new Membership(draft).handOverQueued();
                return;
            }
            if (!mayStart()) {
                return;
            }
            for (String paused : draft.paused()) {
                new PausedJobs(draft).resume(draft.job(paused));
            }
            placeAll();
            new DrainPlanner(draft).planNext();
        }
    }

    /** Advances the claims on a target, oldest first. */
    void advanceClaims(String id) {
        TargetState target = draft.fleet().target(id);
        if (target == null) {
            return;
        }
        List<Job> claiming = new ArrayList<>();
        for (String jobId : target.load().jobs()) {
            Job job = draft.job(jobId);
            if (job != null && job.phase() instanceof Phase.Claiming) {
                claiming.add(job);
            }
        }
        claiming.sort(Comparator.comparingLong((Job j) -> ((Phase.Claiming) j.phase()).claimedAt())
                .thenComparingLong(Job::sequence));
        Claims claims = new Claims(draft);
        for (Job job : claiming) {
            claims.advance(draft.job(job.id()));
        }
    }

    private boolean mayStart() {
        return draft.rules().mayStart(draft.state(), draft.gate(), draft.now());
    }

    private void placeAll() {
        boolean placed = true;
        while (placed) {
            placed = false;
            for (String account : accountsByUse()) {
                if (!draft.gate().allowsStart(draft.now(), draft.policy().firstSecondStarts())) {
                    draft.addTimer(draft.gate().nextSecondAt(draft.now()), Timer.Kind.RAMP_UP, "", 0);
                    return;
                }
                placed |= placeOne(account);
            }
        }
    }

    private List<String> accountsByUse() {
        List<String> accounts = new ArrayList<>(draft.queues().accounts());
        accounts.sort(Comparator.comparingLong(this::accountRank).thenComparing(Comparator.naturalOrder()));
        return accounts;
    }

    private long accountRank(String account) {
        return draft.rules()
                .accountRank(
                        draft.targets().unitsUsedBy(account),
                        headsByPriority(account).getFirst());
    }

    /** Places at most one job of {@code account} and returns whether it did. */
    private boolean placeOne(String account) {
        for (Job job : headsByPriority(account)) {
            String key = account + '/' + job.profile().name();
            if (exhausted.contains(key) || isBlockedByPrecedence(job)) {
                continue;
            }
            if (mayPlace(job) && place(job)) {
                return true;
            }
            exhausted.add(key);
        }
        return false;
    }

    /** Returns the first queued job of each profile of {@code account}, highest effective priority first. */
    private List<Job> headsByPriority(String account) {
        List<Job> heads = new ArrayList<>();
        for (String id : draft.queues().heads(account)) {
            heads.add(draft.job(id));
        }
        heads.sort(Comparator.comparingLong((Job j) -> draft.rules().effectivePriority(j, draft.now(), draft.policy()))
                .reversed()
                .thenComparingLong(Job::sequence));
        return heads;
    }

    private boolean isBlockedByPrecedence(Job job) {
        Predicate<Profile> precedes = other -> draft.rules().waitsFor(job.profile(), other);
        return draft.queues().heads(job.account()).stream()
                .map(draft::job)
                .filter(other -> other != job)
                .map(Job::profile)
                .anyMatch(precedes);
    }

    /** Returns whether {@code job} may be placed now; a job that needs an intent waits while the log is unavailable. */
    private boolean mayPlace(Job job) {
        return draft.gate().logAvailable() || !draft.rules().requiresIntent(job.profile());
    }

    /** Starts {@code job} or claims places for it if possible, and returns whether it did. */
    private boolean place(Job job) {
        Placement placement = new Placement(draft, job);
        Optional<List<Member>> free = placement.findFree();
        if (free.isPresent()) {
            start(job, free.get(), "free", "-");
            return true;
        }
        Optional<List<Member>> claim = draft.rules().claimsEnabled() ? placement.findClaimable() : Optional.empty();
        if (claim.isPresent()) {
            new Claims(draft).claimOwned(job, claim.get());
            return true;
        }
        List<Member> backfill = new DrainPlanner(draft).findBackfill(job);
        if (!backfill.isEmpty()) {
            start(job, backfill, "lent", "free places");
            return true;
        }
        if (job.request().acceptedAt() == draft.now()) {
            draft.note(
                    PART,
                    job,
                    "waits profile=" + job.profile().name()
                            + " why=no place rejected=free places,own share,lent places");
        }
        return false;
    }

    private void start(Job job, List<Member> members, String why, String rejected) {
        Attempt attempt = new Attempt(draft.nextAttemptNumber(), members, 0);
        draft.note(
                PART,
                job,
                "attempt=" + attempt.number() + " targets="
                        + members.stream().map(Member::target).toList() + " units="
                        + members.getFirst().units() + " why=" + why + " rejected=" + rejected);
        new Starter(draft).begin(job, attempt);
    }
}
