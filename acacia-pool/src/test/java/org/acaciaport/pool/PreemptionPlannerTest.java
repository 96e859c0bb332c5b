package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** Compares the searches of {@link PreemptionPlanner} with those of {@link ReferencePlanner} on random pools. */
final class PreemptionPlannerTest {
    private static final int POOLS = 300;
    private static final int SEARCHES_PER_POOL = 12;
    private static final int RACK_SIZE = 4;
    private static final ClockReading NOW = new ClockReading(100_000_000_000L, 100_000);
    private static final Step.Mode GANG = new Step.Mode(true, false, false, false, false, 0);
    private static final Step.Mode CHECKPOINTED = new Step.Mode(false, true, false, false, false, 0);
    private static final Step.Mode FILLING = new Step.Mode(false, false, false, false, true, 0);

    /** A pool of a few racks with tasks in every phase, some targets over-committed, some with other work left over. */
    private static final class RandomPool {
        final RandomGenerator random;
        final List<TargetState> targets = new ArrayList<>();
        private int jobs;

        RandomPool(long seed) {
            random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            int count = 1 + random.nextInt(20);
            for (int i = 0; i < count; i++) {
                TargetState target = new TargetState("t%02d".formatted(i), new AccountUsage());
                Resources capacity =
                        new Resources(8_000L << random.nextInt(3), 16_000L << random.nextInt(3), 4 + random.nextInt(5));
                target.info = new TargetInfo(
                        target.id, "s", "address", "dc", "r" + i / RACK_SIZE, Set.of(), capacity, false, 0, 1);
                targets.add(target);
            }
            int steps = random.nextInt(4 * count);
            for (int i = 0; i < steps; i++) {
                addStep();
            }
        }

        Step step(int maxCount) {
            Step.Mode[] modes = {Step.Mode.PLAIN, GANG, GANG, CHECKPOINTED, FILLING};
            Step.Mode mode = modes[random.nextInt(modes.length)];
            Resources demand = new Resources(500L * random.nextInt(12), 1_000L * random.nextInt(8), random.nextInt(5));
            int spreadLimit = random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0;
            Step.Constraints constraints = new Step.Constraints("", "", spreadLimit, false);
            return new Step(
                    1 + random.nextInt(maxCount), demand, 500 * random.nextInt(20), List.of(), constraints, mode);
        }

        StepExecution submit(Step step) {
            Job.Terms terms = new Job.Terms(random.nextInt(3), 2, 3.0, 1_000);
            long accepted = NOW.wallClockMillis() - random.nextInt(20_000);
            Job job = new Job("j" + jobs++, "q", "s", "account", terms, "", List.of(step), Job.Schedule.NOW, accepted);
            return new JobExecution(job, new RunEstimates()).occurrence(0).get(0);
        }

        private void addStep() {
            StepExecution step = submit(step(6));
            step.preemptionCount = random.nextInt(3) == 0 ? 1 : 0;
            step.displacedCoreSeconds = random.nextInt(3) == 0 ? random.nextInt(100) : 0;
            Phase phase = randomPhase();
            for (TaskExecution task : step.tasks) {
                TargetState target = targets.get(random.nextInt(targets.size()));
                boolean fits = task.demand().fitsIn(target.projectedFree());
                if (fits || random.nextInt(10) == 0) {
                    target.put(task, random.nextInt(8) == 0 ? randomPhase() : phase);
                    task.confirmedNanos = NOW.monotonicNanos() - random.nextLong(10_000_000_000L);
                    task.firstPercent = 0;
                    task.firstPercentNanos = task.confirmedNanos;
                    task.percent = random.nextInt(100);
                    task.lastProgressNanos = NOW.monotonicNanos() - random.nextInt(500_000_000);
                }
            }
        }

        private Phase randomPhase() {
            Phase[] phases = {
                Phase.RUNNING, Phase.RUNNING, Phase.RUNNING, Phase.STARTING, Phase.RESERVED, Phase.STOPPING
            };
            return phases[random.nextInt(phases.length)];
        }

        PlacementUnit unit() {
            StepExecution step = submit(step(8));
            return new PlacementUnit(step, step.spec.mode().gang() ? step.tasks : step.tasks.subList(0, 1));
        }

        List<List<TargetState>> groups() {
            if (random.nextBoolean()) {
                return List.of(targets);
            }
            List<List<TargetState>> groups = new ArrayList<>();
            for (int i = 0; i < targets.size(); i += RACK_SIZE) {
                groups.add(targets.subList(i, Math.min(targets.size(), i + RACK_SIZE)));
            }
            return groups;
        }

        Predicate<TaskExecution> allowed() {
            int minPriority = random.nextInt(2);
            boolean runningOnly = random.nextBoolean();
            return task ->
                    task.job().terms().priority() >= minPriority && (!runningOnly || task.phase == Phase.RUNNING);
        }
    }

    private static PreemptionPlanner.Plan referencePlan(
            PlacementUnit unit,
            List<List<TargetState>> groups,
            Predicate<TaskExecution> allowed,
            PreemptionPlanner.CostModel costModel) {
        PreemptionPlanner.Plan best = null;
        for (List<TargetState> group : groups) {
            PreemptionPlanner.Plan plan = ReferencePlanner.find(unit, group, allowed, costModel, NOW);
            if (plan != null && (best == null || plan.cost() < best.cost())) {
                best = plan;
            }
        }
        return best;
    }

    /** Guards against a search that chooses other victims or targets because of its indexes or its queue. */
    @Test
    void plansAreThoseOfTheReferenceImplementation() {
        int plansWithVictims = 0;
        int rejected = 0;
        for (long seed = 1; seed <= POOLS; seed++) {
            RandomPool pool = new RandomPool(seed);
            for (int i = 0; i < SEARCHES_PER_POOL; i++) {
                PlacementUnit unit = pool.unit();
                List<List<TargetState>> groups = pool.groups();
                Predicate<TaskExecution> allowed = pool.allowed();
                PreemptionPlanner.CostModel costModel = pool.random.nextBoolean()
                        ? PreemptionPlanner.CostModel.LOST_WORK
                        : PreemptionPlanner.CostModel.REMAINING_TIME;
                PreemptionPlanner.Plan expected = referencePlan(unit, groups, allowed, costModel);
                PreemptionPlanner.Plan plan =
                        PreemptionPlanner.findCheapest(unit, groups, allowed, costModel, NOW, new SearchEffort());
                assertWithMessage("seed %s search %s", seed, i).that(plan).isEqualTo(expected);
                if (plan == null) {
                    rejected++;
                } else if (!plan.victims().isEmpty()) {
                    plansWithVictims++;
                }
            }
        }
        assertThat(plansWithVictims).isAtLeast(200);
        assertThat(rejected).isAtLeast(200);
    }
}
