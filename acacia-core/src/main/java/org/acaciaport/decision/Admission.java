package org.acaciaport.decision;

import org.acaciaport.config.Adjacency;
import org.acaciaport.config.Profile;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * Admission control: queues a request, or answers it at once if it cannot be queued or can never run.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class Admission {
    private static final String PART = "admit";

    private final Draft draft;

    Admission(Draft draft) {
        this.draft = draft;
    }

    /** Admits a request that was accepted for this data centre or handed over to it. */
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
            refuse(job, infeasibleReason(job.profile()));
            return;
        }
        if (draft.queues().size(job.account()) >= draft.policy().maxQueuedPerAccount() && !shedLowerPriority(job)) {
            refuse(job, "the account's queue is full; submit it again later");
            return;
        }
        draft.put(job);
        draft.addTimer(request.queueDeadline(), Timer.Kind.QUEUE_DEADLINE, job.id(), 0);
        draft.addTimer(draft.now() + draft.policy().starvationMillis(), Timer.Kind.STARVATION, job.id(), 0);
        // A job behind others of its profile cannot be placed before them, so it needs no dispatch pass of its own.
        boolean first = !draft.queues().hasWaiting(job.account(), job.profile().name());
        boolean wanted = draft.takeDispatchRequest();
        draft.enqueue(job);
        draft.takeDispatchRequest();
        if (first || wanted) {
            draft.requestDispatch();
        }
    }

    /** Admits a request that an earlier leader accepted, or resumes tracking the attempt that it may have started. */
    void recover(Event.Recovered recovered) {
        if (recovered.intent().isEmpty()) {
            admit(recoverWithoutIntent(recovered));
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

    /**
     * Returns the job for a recovered request without an open intent. Only work that needs no intent, or that has been
     * checkpointed, may have started.
     */
    private Job recoverWithoutIntent(Event.Recovered recovered) {
        Job job = Job.accepted(recovered.request(), draft.nextSequenceNumber());
        if (recovered.checkpointed()) {
            return job.withStart().withCheckpoint(true);
        }
        return draft.rules().requiresIntent(job.profile()) ? job : job.withPossibleStart();
    }

    /** Answers queued requests that the configuration in force can never run. */
    void refuseInfeasible() {
        for (Job job : draft.jobs().values()) {
            if (job.phase() instanceof Phase.Queued && !canEverRun(job)) {
                refuse(job, infeasibleReason(job.profile()));
            }
        }
    }

    /** Returns whether the targets that are not leaving could hold {@code job} if no other work ran. */
    boolean canEverRun(Job job) {
        Profile profile = job.profile();
        int needed = profile.shape().targets();
        if (profile.shape().adjacency() == Adjacency.SAME_RACK) {
            return draft.fleet().racks().values().stream().anyMatch(rack -> countFitting(job, rack, needed) >= needed);
        }
        int total = 0;
        for (Iterable<String> rack : draft.fleet().racks().values()) {
            total += countFitting(job, rack, needed - total);
            if (total >= needed) {
                return true;
            }
        }
        return false;
    }

    /** Counts the targets that fit a member of {@code job} when empty, up to {@code limit}. */
    private int countFitting(Job job, Iterable<String> targets, int limit) {
        int count = 0;
        for (String id : targets) {
            count += fitsWhenEmpty(draft.fleet().target(id), job) ? 1 : 0;
            if (count >= limit) {
                break;
            }
        }
        return count;
    }

    /**
     * Returns whether a member of {@code job} fits on {@code target} when no other work runs there. Irrevocable work
     * must fit beside the guarantees of other accounts; revocable work may borrow from them.
     */
    static boolean fitsWhenEmpty(TargetState target, Job job) {
        int units = job.profile().unitsOn(target.target());
        int guaranteed = job.profile().revocable() ? 0 : target.ownedByOthers(job.account());
        return !target.leaving() && target.capacity() - guaranteed >= units;
    }

    /** Returns whether a member of {@code job} fits on {@code target} beside the guarantees of all other accounts. */
    static boolean fitsBesideGuarantees(TargetState target, Job job) {
        return target.capacity() - target.ownedByOthers(job.account())
                >= job.profile().unitsOn(target.target());
    }

    private static String infeasibleReason(Profile profile) {
        return "no set of targets here can ever hold " + profile.shape() + " of profile " + profile.name()
                + " beside the guarantees; choose a smaller profile or another data centre";
    }

    /**
     * Makes room in the queue of the account of {@code job} by answering the newest request of its lowest-priority
     * profile as not run.
     *
     * @return whether a request was shed; false if none has a lower priority or if it may already have run
     */
    private boolean shedLowerPriority(Job job) {
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
        draft.finish(job, refusal(job, reason));
    }

    /** Returns the outcome of a request that will not be started again: unknown if it may have run before. */
    private Outcome refusal(Job job, String reason) {
        if (draft.rules().neverStarted(job)) {
            return new Outcome.NotRun(reason);
        }
        return new Outcome.Unknown("it may have run before, and now " + reason);
    }
}
