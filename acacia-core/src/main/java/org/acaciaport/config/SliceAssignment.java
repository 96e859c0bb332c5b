package org.acaciaport.config;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An assignment of target slices to client accounts that backs the guarantee of one data centre.
 *
 * <p>Immutable. An account owns at most one slice of a target, and its slices satisfy the adjacency of the guarantee. A
 * slice is assigned only if the target has capacity for it together with the slices and the irrevocable work of the
 * other accounts. Work is irrevocable if it cannot be preempted; see {@link Profile#revocable}.
 */
public final class SliceAssignment {
    /** The assignment of a data centre without a guarantee. */
    public static final SliceAssignment NONE = new SliceAssignment(ImmutableListMultimap.of(), ImmutableMap.of());

    private final ImmutableListMultimap<String, Slice> byAccount;
    private final ImmutableMap<String, Integer> unassigned;
    private final ImmutableMap<String, Map<String, Integer>> byTarget;

    private SliceAssignment(ImmutableListMultimap<String, Slice> byAccount, ImmutableMap<String, Integer> unassigned) {
        this.byAccount = byAccount;
        this.unassigned = unassigned;
        Map<String, Map<String, Integer>> unitsByTarget = new HashMap<>();
        for (Slice slice : byAccount.values()) {
            unitsByTarget
                    .computeIfAbsent(slice.target(), t -> new LinkedHashMap<>())
                    .put(slice.account(), slice.units());
        }
        this.byTarget = ImmutableMap.copyOf(unitsByTarget);
    }

    /**
     * The capacity of a target that slices can be assigned on.
     *
     * @param target identifier of the target
     * @param rack name of its rack
     * @param capacity number of its accelerators
     * @param irrevocable accelerators in use by work that cannot be preempted, by account
     */
    public record TargetCapacity(String target, String rack, int capacity, Map<String, Integer> irrevocable) {
        /** Returns the capacity of {@code target} while no work runs on it. */
        public static TargetCapacity of(Target target) {
            return new TargetCapacity(target.id(), target.rack(), target.accelerators(), Map.of());
        }
    }

    /** Returns the number of accounts whose guarantee cannot be met even when no work runs in the data centre. */
    static int countUnsatisfiedAccounts(Configuration configuration, String dataCentre) {
        List<TargetCapacity> capacities = configuration.targetsOf(dataCentre).stream()
                .map(TargetCapacity::of)
                .toList();
        return assign(configuration, dataCentre, capacities, NONE).unassigned.size();
    }

    /**
     * Assigns the guaranteed shape to every account, keeping slices of {@code previous} that still fit.
     *
     * @param capacities capacities of the targets that can be used now
     */
    public static SliceAssignment assign(
            Configuration configuration, String dataCentre, List<TargetCapacity> capacities, SliceAssignment previous) {
        Guarantee guarantee = configuration.guaranteeOf(dataCentre).orElse(null);
        if (guarantee == null) {
            return NONE;
        }
        return new Assigner(guarantee.shape(), capacities).assign(configuration.accounts(), previous);
    }

    /** Returns the slices of {@code account}. */
    public List<Slice> slicesOf(String account) {
        return byAccount.get(account);
    }

    /** Returns the number of accelerators that each account owns on {@code target}, by account. */
    public Map<String, Integer> unitsByAccount(String target) {
        return byTarget.getOrDefault(target, Map.of());
    }

    /** Returns the number of slices of the guarantee of {@code account} that could not be assigned. */
    public int unassignedSlices(String account) {
        return unassigned.getOrDefault(account, 0);
    }

    /** Returns the number of guaranteed slices of all accounts that could not be assigned. */
    public int unassignedSlices() {
        return unassigned.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Computes one assignment. Not thread-safe. */
    private static final class Assigner {
        private final Shape shape;
        private final Map<String, TargetCapacity> capacities;
        private final Map<String, Map<String, Integer>> owned = new HashMap<>();
        private final ImmutableListMultimap.Builder<String, Slice> slices = ImmutableListMultimap.builder();
        private final ImmutableMap.Builder<String, Integer> unassigned = ImmutableMap.builder();

        Assigner(Shape shape, List<TargetCapacity> capacities) {
            this.shape = shape;
            this.capacities = new LinkedHashMap<>();
            capacities.forEach(c -> this.capacities.put(c.target(), c));
        }

        SliceAssignment assign(List<ClientAccount> accounts, SliceAssignment previous) {
            // First keeps the slices of all accounts, so that no new slice displaces an old one.
            Map<String, List<String>> kept = new HashMap<>();
            for (ClientAccount account : accounts) {
                kept.put(account.name(), keepPreviousSlices(account.name(), previous));
            }
            for (ClientAccount account : accounts) {
                assignMissingSlices(account.name(), kept.get(account.name()));
            }
            return new SliceAssignment(slices.build(), unassigned.build());
        }

        /** Returns the targets on which {@code account} keeps its slice of {@code previous}. */
        private List<String> keepPreviousSlices(String account, SliceAssignment previous) {
            List<String> kept = new ArrayList<>();
            for (Slice slice : previous.slicesOf(account)) {
                if (kept.size() < shape.targets() && remainingCapacity(account, capacities.get(slice.target())) >= 0) {
                    assignSlice(account, slice.target());
                    kept.add(slice.target());
                }
            }
            return kept;
        }

        /** Assigns slices until the shape is complete, starting over without {@code kept} if only that completes it. */
        private void assignMissingSlices(String account, List<String> kept) {
            List<String> chosen = chooseTargets(account, kept);
            if (chosen.size() < shape.targets() && !kept.isEmpty()) {
                kept.forEach(t -> owned.get(t).remove(account));
                List<String> fresh = chooseTargets(account, List.of());
                chosen = fresh.size() == shape.targets() ? fresh : chosen;
            }
            for (String target : chosen) {
                assignSlice(account, target);
                slices.put(account, new Slice(account, target, shape.acceleratorsPerTarget()));
            }
            if (chosen.size() < shape.targets()) {
                unassigned.put(account, shape.targets() - chosen.size());
            }
        }

        /**
         * Returns {@code kept} and as many further targets as the shape needs, or fewer if its adjacency or the
         * capacity does not allow that many.
         */
        private List<String> chooseTargets(String account, List<String> kept) {
            if (shape.adjacency() == Adjacency.SAME_DATA_CENTRE) {
                return addTargets(account, kept, capacities.values());
            }
            List<String> best = kept;
            Map<String, List<TargetCapacity>> racks = capacities.values().stream()
                    .collect(Collectors.groupingBy(TargetCapacity::rack, LinkedHashMap::new, Collectors.toList()));
            for (List<TargetCapacity> rack : racks.values()) {
                Set<String> rackTargets =
                        rack.stream().map(TargetCapacity::target).collect(Collectors.toSet());
                if (!rackTargets.containsAll(kept)) {
                    continue;
                }
                List<String> extended = addTargets(account, kept, rack);
                if (extended.size() > best.size()) {
                    best = extended;
                }
            }
            return best;
        }

        /**
         * Returns {@code kept} and as many targets of {@code available} as the shape needs. Prefers the targets with
         * the least remaining capacity (best fit), so that whole targets stay unassigned.
         */
        private List<String> addTargets(String account, List<String> kept, Iterable<TargetCapacity> available) {
            List<TargetCapacity> candidates = new ArrayList<>();
            for (TargetCapacity candidate : available) {
                if (!kept.contains(candidate.target()) && remainingCapacity(account, candidate) >= 0) {
                    candidates.add(candidate);
                }
            }
            candidates.sort(Comparator.comparingInt((TargetCapacity c) -> remainingCapacity(account, c)));
            List<String> chosen = new ArrayList<>(kept);
            for (TargetCapacity candidate : candidates) {
                if (chosen.size() == shape.targets()) {
                    break;
                }
                chosen.add(candidate.target());
            }
            return chosen;
        }

        private void assignSlice(String account, String target) {
            owned.computeIfAbsent(target, t -> new HashMap<>()).put(account, shape.acceleratorsPerTarget());
        }

        /**
         * Returns the accelerators that remain on {@code candidate} if {@code account} owns a slice there; negative if
         * the slice does not fit or {@code candidate} is null.
         */
        private int remainingCapacity(String account, TargetCapacity candidate) {
            if (candidate == null) {
                return -1;
            }
            Map<String, Integer> units = new HashMap<>(owned.getOrDefault(candidate.target(), Map.of()));
            units.put(account, shape.acceleratorsPerTarget());
            return candidate.capacity() - committedUnits(units, candidate.irrevocable());
        }
    }

    /**
     * Returns the accelerators committed on a target: for each account, the larger of what it owns and what its
     * irrevocable work uses.
     */
    public static int committedUnits(Map<String, Integer> owned, Map<String, Integer> irrevocable) {
        int sum = 0;
        for (Map.Entry<String, Integer> entry : owned.entrySet()) {
            sum += Math.max(entry.getValue(), irrevocable.getOrDefault(entry.getKey(), 0));
        }
        for (Map.Entry<String, Integer> entry : irrevocable.entrySet()) {
            if (!owned.containsKey(entry.getKey())) {
                sum += entry.getValue();
            }
        }
        return sum;
    }
}
