package org.acaciaport.pool;

import java.util.Arrays;
import java.util.List;

/**
 * A gang or a single task that may make room for a unit, as seen by one search.
 *
 * <p>Equal only to itself. Mutable and not thread-safe; confined to the thread of the pool. All tasks of a victim have
 * the demand of their step, so what it frees on a target is a multiple of that.
 */
final class Victim {
    /** Gain of freed resources in proportion to the demand of one task, relative to the gain of a whole slot. */
    private static final double PARTIAL_SLOT_GAIN = 0.1;

    /** Position in the order of discovery, which decides between victims of equal score. */
    final int number;

    final StepExecution step;

    /** Numbers of the targets of the search with tasks of this victim, and the number of its tasks on each. */
    final int[] targets;

    final int[] taskCounts;

    /** All tasks of the victim, also those on other targets. */
    final List<TaskExecution> tasks;

    double cost;

    /**
     * Cost per gained slot, {@link Double#MAX_VALUE} if the end of the victim gains nothing; in a search of an
     * account's own work, cost per part of the lacking resources.
     */
    double score;

    /** Number of evaluations of {@code score}, which tells whether an entry of the queue is current. */
    int version;

    boolean chosen;

    /** Whether all targets of the victim answer; set only in a search of an account's own work. */
    boolean answering;

    /** Number of victims that were chosen when {@code score} was last evaluated. */
    int lastChoice;

    private double partialGain;

    private Victim(int number, List<TaskExecution> tasks, int[] targets, int[] taskCounts) {
        this.number = number;
        this.tasks = tasks;
        this.step = tasks.get(0).step;
        this.targets = targets;
        this.taskCounts = taskCounts;
    }

    /** Returns a victim of the single {@code task} on target number {@code target}. */
    static Victim ofSingle(int number, TaskExecution task, int target) {
        return new Victim(number, List.of(task), new int[] {target}, new int[] {1});
    }

    /** Returns a victim of all placed tasks of {@code gang}, at least one of which is on a target of {@code table}. */
    static Victim ofGang(int number, StepExecution gang, SlotTable table) {
        List<TaskExecution> tasks =
                gang.tasks.stream().filter(task -> task.target != null).toList();
        int[] targets = new int[tasks.size()];
        int[] counts = new int[tasks.size()];
        int used = 0;
        for (TaskExecution task : tasks) {
            int target = table.indexOf(task.target);
            if (target < 0) {
                continue;
            }
            int at = 0;
            while (at < used && targets[at] != target) {
                at++;
            }
            targets[at] = target;
            counts[at]++;
            used = Math.max(used, at + 1);
        }
        return new Victim(number, tasks, Arrays.copyOf(targets, used), Arrays.copyOf(counts, used));
    }

    /** Returns a victim of {@code tasks} of one step, which a search of a client account's own work may stop. */
    static Victim ofOwnWork(int number, List<TaskExecution> tasks) {
        return new Victim(number, tasks, new int[0], new int[0]);
    }

    /** Frees the resources of the victim in {@code table} if {@code sign} is 1, or takes them back if it is -1. */
    void apply(SlotTable table, int sign) {
        Resources demand = step.spec.chargedResources();
        for (int i = 0; i < targets.length; i++) {
            table.add(targets[i], demand, sign * taskCounts[i]);
        }
    }

    /** Sets the cost and the gain of partial slots, before the first evaluation. */
    void prepare(PlacementUnit unit, double cost) {
        this.cost = cost;
        double share = step.spec.chargedResources().coreEquivalents()
                / Math.max(1, unit.demand().coreEquivalents());
        double partial = 0;
        for (int count : taskCounts) {
            for (int i = 0; i < count; i++) {
                partial += share;
            }
        }
        partialGain = PARTIAL_SLOT_GAIN * partial;
    }

    /** Evaluates the score with the resources that are free in {@code table}. */
    void evaluate(SlotTable table) {
        version++;
        Resources demand = step.spec.chargedResources();
        int slots = 0;
        for (int i = 0; i < targets.length; i++) {
            slots += table.gain(targets[i], demand, taskCounts[i]);
        }
        double gain = slots + partialGain;
        score = gain > 0 ? cost / gain : Double.MAX_VALUE;
    }
}
