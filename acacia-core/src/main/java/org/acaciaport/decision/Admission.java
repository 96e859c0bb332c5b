package org.acaciaport.decision;

import org.acaciaport.config.Adjacency;
import org.acaciaport.config.Profile;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * Takes requests in, or answers them as not run at once.
 *
 * <p>Confined to one decision.
 */
final class Admission {
    private static final String PART = "admit";

    private final Draft draft;

    Admission(Draft draft) {
        this.draft = draft;
    }

    void admit(Event.Submitted submitted) {
        Job job = Job.accepted(submitted.request(), draft.nextSequenceNumber());
        admit(submitted.mayHaveRun() ? job.withPossibleStart() : job);
    }

    private void admit(Job job) {
        Request request = job.request();
        if (draft.job(request.id()) != null) {
            return;
        }
        if (draft.now() >= request.queueDeadline() && !job.checkpointed()) {
            refuse(job, "its queue deadline had passed on arrival; submit it again with a longer queue limit");
            return;
        }
        if (!canEverRun(job)) {
            refuse(job, neverReason(job.profile()));
            return;
        }
        if (draft.queues().size(job.account()) >= draft.policy().maxQueuedPerAccount() && !shedLower(job)) {
            refuse(job, "the account's queue is full; submit it again later");
            return;
        }
        draft.put(job);
        draft.addTimer(request.queueDeadline(), Timer.Kind.QUEUE_DEADLINE, job.id(), 0);
        draft.addTimer(draft.now() + draft.policy().starvationMillis(), Timer.Kind.STARVATION, job.id(), 0);
        boolean first = !draft.queues().hasWaiting(job.account(), job.profile().name());
        boolean wanted = draft.takeDispatchRequest();
        draft.enqueue(job);
        draft.takeDispatchRequest();
        if (first || wanted) {
            draft.requestDispatch();
        }
    }

    /** Takes up a request where an earlier leader left it. */
    void recover(Event.Recovered recovered) {
        if (recovered.intent().isEmpty()) {
            admit(unfinished(recovered));
            return;
        }
        Attempt intent = recovered.intent().get();
        Job known = draft.job(recovered.request().id());
        if (known != null && !(known.phase() instanceof Phase.Queued)) {
            return;
        }
        Job job = known != null ? known : Job.accepted(recovered.request(), draft.nextSequenceNumber());
        draft.put(job);
        draft.dequeue(job);
        boolean present = intent.members().stream().allMatch(m -> draft.fleet().target(m.target()) != null);
        if (!present) {
            draft.finish(job, new Outcome.Unknown("it may have started on a target that is no longer configured"));
            return;
        }
        draft.note(PART, job, "recovered attempt=" + intent.number() + " why=an earlier leader may have started it");
        new Starter(draft).resumeTracking(job, intent);
    }

    /** Without an intent on the log, only work that needs none may have started. */
    private Job unfinished(Event.Recovered recovered) {
        Job job = Job.accepted(recovered.request(), draft.nextSequenceNumber());
        if (recovered.checkpointed()) {
            return job.withStart().withCheckpoint(true);
        }
        return draft.rules().requiresIntent(job.profile()) ? job : job.withPossibleStart();
    }

    /** Answers waiting requests that the present configuration can never run. */
    void rejectInfeasible() {
        for (Job job : draft.jobs().values()) {
            if (job.phase() instanceof Phase.Queued && !canEverRun(job)) {
                refuse(job, neverReason(job.profile()));
            }
        }
    }

    /** Returns whether the job fits somewhere when nothing else runs. */
    boolean canEverRun(Job job) {
        Profile profile = job.profile();
        int needed = profile.shape().targets();
        if (profile.shape().adjacency() == Adjacency.SAME_RACK) {
            return draft.fleet().racks().values().stream().anyMatch(rack -> fitting(job, rack, needed) >= needed);
        }
        int total = 0;
        for (Iterable<String> rack : draft.fleet().racks().values()) {
            total += fitting(job, rack, needed - total);
            if (total >= needed) {
                return true;
            }
        }
        return false;
    }

    private int fitting(Job job, Iterable<String> targets, int enough) {
        int count = 0;
        for (String id : targets) {
            count += fitsWhenEmpty(draft.fleet().target(id), job) ? 1 : 0;
            if (count >= enough) {
                break;
            }
        }
        return count;
    }

    /** Returns whether a member of {@code job} fits on {@code target} when no other work runs there. */
    static boolean fitsWhenEmpty(TargetState target, Job job) {
        int units = job.profile().unitsOn(target.target());
        int kept = job.profile().revocable() ? 0 : target.ownedByOthers(job.account());
        return !target.leaving() && target.capacity() - kept >= units;
    }

    /** Returns whether a member of {@code job} fits on {@code target} beside everything that other accounts own. */
    static boolean fitsBesideGuarantees(TargetState target, Job job) {
        return target.capacity() - target.ownedByOthers(job.account())
                >= job.profile().unitsOn(target.target());
    }

    private static String neverReason(Profile profile) {
        return "no set of targets here can ever hold " + profile.shape() + " of profile " + profile.name()
                + " beside the guarantees; choose a smaller profile or another data centre";
    }

    /** Makes room by answering the newest waiting request of a lower priority as not run. */
    private boolean shedLower(Job job) {
        Job lowest = null;
        for (String head : draft.queues().heads(job.account())) {
            Job other = draft.job(head);
            boolean lower = other.profile().priority() < job.profile().priority();
            if (lower
                    && (lowest == null
                            || other.profile().priority() < lowest.profile().priority())) {
                lowest = other;
            }
        }
        if (lowest == null) {
            return false;
        }
        Job last = draft.job(draft.queues().last(job.account(), lowest.profile().name()));
        if (!draft.rules().neverStarted(last)) {
            return false;
        }
        refuse(last, "the account's queue is full of more urgent requests; submit it again later");
        return true;
    }

    private void refuse(Job job, String reason) {
        draft.note(PART, job, "refused profile=" + job.profile().name() + " why=" + reason);
        draft.finish(job, notRun(job, reason));
    }

    /** Returns the truthful answer for a request that will not be started any more. */
    private Outcome notRun(Job job, String reason) {
        if (draft.rules().neverStarted(job)) {
            return new Outcome.NotRun(reason);
        }
        return new Outcome.Unknown("it may have run before, and now " + reason);
    }
}
