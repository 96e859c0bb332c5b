package org.acaciaport.decision;

import org.acaciaport.config.SliceAssignment;
import org.acaciaport.decision.Violation.Invariant;

/**
 * Checks the targets and jobs of a state: capacity, guarantees, whole gangs and the bounds on claims.
 *
 * <p>Remembers only the end of the latest pause of the process, which never decreases. Not thread-safe.
 */
final class StateInvariants {
    /** Delay of a due timer from which the process counts as having been paused, in milliseconds. */
    private static final long PAUSE_THRESHOLD_MILLIS = 500;

    private final Policy policy;
    private final ViolationCollector violations;
    private long pauseEnd = Long.MIN_VALUE;

    StateInvariants(Policy policy, ViolationCollector violations) {
        this.policy = policy;
        this.violations = violations;
    }

    /**
     * Detects that the whole process was paused, which shows in a timer that is long overdue. No preemption can proceed
     * during a pause, so the bounds on claims made earlier count from its end.
     */
    void detectPause(CellState before, long now) {
        if (before.nextTimerAt().orElse(Long.MAX_VALUE) < now - PAUSE_THRESHOLD_MILLIS) {
            pauseEnd = now;
        }
    }

    /** Checks {@code target} and the jobs on it. */
    void checkTarget(CellState after, TargetState target, long now) {
        Load load = target.load();
        violations.require(
                Invariant.CAPACITY,
                load.used() - unconfirmedUnits(after, target) <= target.capacity(),
                () -> target.id() + " holds " + load.used() + " of " + target.capacity() + " by "
                        + describeUsers(after, target));
        violations.require(
                Invariant.GUARANTEE,
                !target.isUsable()
                        || SliceAssignment.committedUnits(target.owned(), load.irrevocableByAccount())
                                <= target.capacity(),
                () -> target.id() + " owned=" + target.owned() + " irrevocable=" + load.irrevocableByAccount());
        for (String id : load.jobs()) {
            Job job = after.workload().jobs().get(id);
            violations.require(Invariant.BOOKKEEPING, job != null, () -> target.id() + " lists unknown request " + id);
            if (job != null) {
                checkJob(after, job, now);
            }
        }
    }

    /**
     * Returns the accelerators of {@code target} counted for members that an earlier leader may have started and the
     * target has not reported on yet. Some of these members may have ended and been replaced, so their accelerators may
     * be counted twice.
     */
    private static int unconfirmedUnits(CellState after, TargetState target) {
        int units = 0;
        for (String id : target.load().jobs()) {
            Job job = after.workload().jobs().get(id);
            if (job != null && job.phase() instanceof Phase.Running running && isRecovered(after, running)) {
                units += startingUnitsOn(running, target);
            }
        }
        return units;
    }

    private static boolean isRecovered(CellState after, Phase.Running running) {
        return CellState.epochOf(running.attempt().number())
                < CellState.epochOf(after.workload().lastAttempt());
    }

    private static int startingUnitsOn(Phase.Running running, TargetState target) {
        int units = 0;
        for (Member member : running.attempt().members()) {
            MemberState.Status status = running.members().get(member.index()).status();
            boolean starting = status == MemberState.Status.STARTING;
            units += starting && member.target().equals(target.id()) ? member.units() : 0;
        }
        return units;
    }

    /** Checks the phase of {@code job}. */
    void checkJob(CellState after, Job job, long now) {
        if (job.phase() instanceof Phase.Running running) {
            boolean memberGone = running.members().values().stream()
                    .anyMatch(m -> !m.occupiesAccelerators() && m.status() != MemberState.Status.ENDED);
            violations.require(
                    Invariant.GANG_WHOLE,
                    !memberGone
                            || !running.occupiesAccelerators()
                            || running.revocation().isPresent(),
                    () -> job.id() + " goes on without a member, members=" + running.members());
        }
        if (job.phase() instanceof Phase.Claiming claiming && now > effectiveDeadline(claiming)) {
            Invariant bound = claiming.forLargeJob() ? Invariant.LARGE_JOB_BOUND : Invariant.RECLAIM_BOUND;
            violations.require(
                    bound,
                    arePlacesFree(after, claiming),
                    () -> job.id() + " claimed at " + claiming.claimedAt() + ", deadline " + claiming.deadline()
                            + ", places still in use at " + now + " by " + describeUsers(after, claiming));
        }
    }

    private static String describeUsers(CellState after, Phase.Claiming claiming) {
        StringBuilder text = new StringBuilder();
        for (Member member : claiming.attempt().members()) {
            text.append(describeUsers(after, after.fleet().target(member.target())))
                    .append(' ');
        }
        return text.toString();
    }

    private static String describeUsers(CellState after, TargetState target) {
        StringBuilder text = new StringBuilder();
        text.append(target.id()).append(" owned=").append(target.owned()).append(" [");
        for (String id : target.load().jobs()) {
            Job job = after.workload().jobs().get(id);
            text.append(id).append(' ').append(job.profile().name()).append(' ');
            text.append(job.account()).append(' ').append(job.phase()).append("; ");
        }
        return text.append(']').toString();
    }

    /** Returns the deadline of a claim, extended if the process was paused after the claim was made. */
    private long effectiveDeadline(Phase.Claiming claiming) {
        boolean paused = claiming.claimedAt() < pauseEnd;
        return paused ? Math.max(claiming.deadline(), pauseEnd + 2 * policy.maxReclaimMillis()) : claiming.deadline();
    }

    private static boolean arePlacesFree(CellState after, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            TargetState target = after.fleet().target(member.target());
            if (target.capacity() - target.load().used() < member.units()) {
                return false;
            }
        }
        return true;
    }
}
