package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.SliceAssignment;
import org.acaciaport.config.Target;

/**
 * Tracks which targets are in use and whether the data centre is in service, and reassigns guarantees to the targets
 * that remain.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class Membership {
    private static final String PART = "fleet";

    private final Draft draft;

    Membership(Draft draft) {
        this.draft = draft;
    }

    /** Applies {@code next} if its revision is newer than the one in force; ignores it otherwise. */
    void applyConfiguration(ActiveConfiguration next) {
        ActiveConfiguration previous = draft.active();
        if (!draft.rules().replaces(next, previous)) {
            draft.note(PART, "ignored revision=" + next.revision() + " in force=" + previous.revision());
            return;
        }
        String here = draft.state().dataCentre();
        boolean wasInService = previous.inService(here);
        draft.setActive(next);
        if (!next.configuration().equals(previous.configuration())) {
            replaceTargets(next.configuration().targetsOf(here));
            new Admission(draft).refuseInfeasible();
        }
        draft.note(PART, "revision=" + next.revision() + " in force, in service=" + next.inService(here));
        if (wasInService && !next.inService(here)) {
            evacuate();
        }
        if (!wasInService && next.inService(here)) {
            draft.setGate(draft.gate().withReturnToService(draft.now()));
            enqueueWaiting();
        }
        draft.requestDispatch();
    }

    /**
     * Replaces the configured targets. A target with work on it is neither shrunk nor removed: it keeps its size, or
     * counts as leaving if it is no longer configured.
     */
    private void replaceTargets(List<Target> targets) {
        Fleet fleet = draft.fleet();
        Set<String> present = new HashSet<>();
        for (Target target : targets) {
            present.add(target.id());
            TargetState state = fleet.target(target.id());
            if (state == null) {
                boolean leaving = fleet.listedAsLeaving().contains(target.id());
                fleet = fleet.with(
                        TargetState.empty(target).withReachable(false).withLeaving(leaving));
            } else if (state.load().jobs().isEmpty() || target.accelerators() >= state.capacity()) {
                fleet = fleet.with(state.with(target));
            } else {
                draft.note(PART, "target=" + target.id() + " keeps its size until it is empty");
            }
        }
        for (String id : new ArrayList<>(fleet.targets().keySet())) {
            if (present.contains(id)) {
                continue;
            }
            boolean empty = fleet.target(id).load().jobs().isEmpty()
                    && fleet.target(id).load().paused().isEmpty();
            fleet = empty ? fleet.without(id) : fleet.with(fleet.target(id).withLeaving(true));
        }
        draft.targets().setFleet(fleet.withRacks());
        reassignGuarantees();
    }

    /**
     * Marks the targets in {@code listed}, and those no longer configured, as leaving and all others as staying.
     * Evacuates the targets that begin to leave.
     */
    void applyLeavingList(Set<String> listed) {
        if (!listed.equals(draft.fleet().listedAsLeaving())) {
            draft.targets().setListedAsLeaving(listed);
        }
        Set<String> configured = draft
                .active()
                .configuration()
                .targetsOf(draft.state().dataCentre())
                .stream()
                .map(Target::id)
                .collect(Collectors.toSet());
        boolean changed = false;
        for (TargetState target : draft.fleet().targets().values()) {
            boolean leaving = draft.rules().appliesLeavingList() && listed.contains(target.id())
                    || !configured.contains(target.id());
            if (leaving == target.leaving()) {
                continue;
            }
            changed = true;
            draft.targets().changeTarget(target.id(), t -> t.withLeaving(leaving));
            draft.note(PART, "target=" + target.id() + " leaving=" + leaving);
            if (leaving) {
                evacuateTarget(target.id());
            }
        }
        if (changed) {
            reassignGuarantees();
        }
    }

    /** Marks a target as reachable now that its lease is held. */
    void markReachable(String id) {
        TargetState target = draft.fleet().target(id);
        if (target == null || target.reachable()) {
            return;
        }
        draft.targets().changeTarget(id, t -> t.withReachable(true));
        draft.note(PART, "target=" + id + " reachable");
        retryUnassignedSlices();
    }

    /**
     * Marks a target as unreachable and its members as lost: its lease has expired, so whatever ran there has ended.
     */
    void markLost(String id) {
        TargetState target = draft.fleet().target(id);
        if (target == null || !target.reachable()) {
            return;
        }
        draft.targets().changeTarget(id, t -> t.withReachable(false));
        draft.note(PART, "target=" + id + " lost why=its lease lapsed");
        for (String job : target.load().paused()) {
            if (draft.job(job).phase() instanceof Phase.Paused paused) {
                new PausedJobs(draft).evict(draft.job(job), paused, "target " + id + " was lost");
            }
        }
        for (String job : target.load().jobs()) {
            markMembersLost(draft.job(job), id);
        }
        reassignGuarantees();
        draft.requestDispatch();
    }

    private void markMembersLost(Job job, String target) {
        switch (job.phase()) {
            case Phase.Claiming claiming -> new Claims(draft).abandon(job, claiming, "target " + target + " was lost");
            case Phase.Reserving reserving ->
                new Starter(draft).abandon(job, reserving.attempt(), "target " + target + " was lost");
            case Phase.Running running -> {
                for (Member member : running.attempt().members()) {
                    if (member.target().equals(target)) {
                        new RunTracker(draft)
                                .handleMemberChange(
                                        job.id(),
                                        running.attempt().number(),
                                        member.index(),
                                        MemberState.of(MemberState.Status.LOST));
                    }
                }
            }
            case Phase.Committing committing -> {}
            case Phase.Queued queued -> {}
            case Phase.Paused paused -> {}
            case Phase.HandingOver handingOver -> {}
        }
    }

    /** Tries again to assign the guaranteed slices that are unassigned, now that another target is in use. */
    void retryUnassignedSlices() {
        if (draft.fleet().sliceAssignment().unassignedSlices() > 0) {
            reassignGuarantees();
        }
        draft.requestDispatch();
    }

    /**
     * Assigns the guarantees of all accounts to the trusted targets, keeping the slices that still fit, and has all
     * claims checked against the result.
     */
    void reassignGuarantees() {
        List<SliceAssignment.TargetCapacity> capacities = new ArrayList<>();
        for (TargetState target : new TreeMap<>(draft.fleet().targets()).values()) {
            if (target.isTrusted()) {
                capacities.add(new SliceAssignment.TargetCapacity(
                        target.id(),
                        target.target().rack(),
                        target.capacity(),
                        target.load().irrevocableByAccount()));
            }
        }
        SliceAssignment previous = draft.fleet().sliceAssignment();
        SliceAssignment next = SliceAssignment.assign(
                draft.active().configuration(), draft.state().dataCentre(), capacities, previous);
        draft.targets().setFleet(draft.fleet().with(next));
        draft.targets().recheckClaims();
        if (next.unassignedSlices() != previous.unassignedSlices()) {
            draft.note(
                    PART,
                    "guaranteed slices owed=" + next.unassignedSlices()
                            + " why=the targets in use cannot hold them now");
        }
        draft.requestDispatch();
    }

    /** Evacuates the data centre: releases whatever has not started and revokes or evicts what may be. */
    private void evacuate() {
        draft.setGate(draft.gate().withoutPermit());
        for (Job job : draft.jobs().values()) {
            switch (job.phase()) {
                case Phase.Claiming claiming ->
                    new Claims(draft).abandon(job, claiming, "the data centre goes out of service");
                case Phase.Reserving reserving ->
                    new Starter(draft).abandon(job, reserving.attempt(), "the data centre goes out of service");
                case Phase.Running running -> revokeIfRevocable(job, running);
                case Phase.Paused paused ->
                    new PausedJobs(draft).evict(job, paused, "the data centre goes out of service");
                case Phase.Queued queued -> {}
                case Phase.Committing committing -> {}
                case Phase.HandingOver handingOver -> {}
            }
        }
    }

    /** Releases claims and reservations on a target, revokes what may be revoked there, and evicts paused work. */
    private void evacuateTarget(String target) {
        TargetState state = draft.fleet().target(target);
        for (String id : state.load().jobs()) {
            Job job = draft.job(id);
            switch (job.phase()) {
                case Phase.Claiming claiming -> new Claims(draft).abandon(job, claiming, "target leaves");
                case Phase.Reserving reserving -> new Starter(draft).abandon(job, reserving.attempt(), "target leaves");
                case Phase.Running running -> revokeIfRevocable(job, running);
                case Phase.Queued queued -> {}
                case Phase.Committing committing -> {}
                case Phase.Paused paused -> {}
                case Phase.HandingOver handingOver -> {}
            }
        }
        for (String id : state.load().paused()) {
            if (draft.job(id).phase() instanceof Phase.Paused paused) {
                new PausedJobs(draft).evict(draft.job(id), paused, "target leaves");
            }
        }
    }

    private void revokeIfRevocable(Job job, Phase.Running running) {
        if (job.profile().revocable() && running.revocation().isEmpty()) {
            new Revoker(draft).revoke(job, Revocation.Cause.OUT_OF_SERVICE, "out of service");
        }
    }

    /** Hands queued jobs over to another data centre, if one is in service. */
    void handOverQueued() {
        boolean elsewhere = draft.active().configuration().dataCentres().stream()
                .anyMatch(d -> draft.active().inService(d.name()));
        if (!elsewhere) {
            return;
        }
        for (Job job : draft.jobs().values()) {
            if (job.phase() instanceof Phase.Queued) {
                draft.dequeue(job);
                draft.put(job.with(new Phase.HandingOver()));
                draft.addCommand(new Command.HandOver(job.request()));
                draft.note(PART, job, "handed over why=the data centre is out of service");
            }
        }
    }

    /** Forgets a job whose hand-over was recorded; queues it again if it was not. */
    void handleHandOverAnswer(Event.HandOverAnswered answer) {
        Job job = draft.job(answer.request());
        if (job == null || !(job.phase() instanceof Phase.HandingOver)) {
            return;
        }
        if (answer.recorded()) {
            draft.remove(job);
        } else {
            draft.enqueue(job);
        }
    }

    /** Makes every waiting job eligible for placement, including those in a retry delay or removed from their queue. */
    private void enqueueWaiting() {
        for (Job job : draft.jobs().values()) {
            if (job.phase() instanceof Phase.Queued) {
                draft.enqueue(job);
            }
        }
    }
}
