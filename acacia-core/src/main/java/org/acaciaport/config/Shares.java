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
 * Which slices of which targets make up each account's guaranteed shape in one data centre.
 *
 * <p>Immutable. An account owns at most one slice of a target, all its slices obey the guarantee's adjacency, and a
 * slice is only assigned where it, the other slices and the irrevocable work of other accounts fit together.
 */
public final class Shares {
    /** No guarantees at all. */
    public static final Shares NONE = new Shares(ImmutableListMultimap.of(), ImmutableMap.of());

    private final ImmutableListMultimap<String, Slice> byAccount;
    private final ImmutableMap<String, Integer> owed;
    private final ImmutableMap<String, Map<String, Integer>> byTarget;

    private Shares(ImmutableListMultimap<String, Slice> byAccount, ImmutableMap<String, Integer> owed) {
        this.byAccount = byAccount;
        this.owed = owed;
        Map<String, Map<String, Integer>> targets = new HashMap<>();
        for (Slice slice : byAccount.values()) {
            targets.computeIfAbsent(slice.target(), t -> new LinkedHashMap<>()).put(slice.account(), slice.units());
        }
        this.byTarget = ImmutableMap.copyOf(targets);
    }

    /**
     * A target that can hold slices.
     *
     * @param target identifier
     * @param rack its rack
     * @param capacity its accelerators
     * @param irrevocable accelerators in use by work that cannot be taken off, by account
     */
    public record Place(String target, String rack, int capacity, Map<String, Integer> irrevocable) {
        /** Returns an unused place for {@code target}. */
        public static Place of(Target target) {
            return new Place(target.id(), target.rack(), target.accelerators(), Map.of());
        }
    }

    /** Returns how many accounts' guarantees do not fit in the empty data centre. */
    static int unassigned(Configuration configuration, String dataCentre) {
        List<Place> places =
                configuration.targetsOf(dataCentre).stream().map(Place::of).toList();
        return assign(configuration, dataCentre, places, NONE).owed.size();
    }

    /**
     * Assigns every account's guaranteed shape, keeping slices of {@code previous} where they still stand.
     *
     * @param places targets that can be used now
     */
    public static Shares assign(Configuration configuration, String dataCentre, List<Place> places, Shares previous) {
        Guarantee guarantee = configuration.guaranteeOf(dataCentre).orElse(null);
        if (guarantee == null) {
            return NONE;
        }
        return new Assignment(guarantee.shape(), places).run(configuration.accounts(), previous);
    }

    /** Returns the slices of {@code account}. */
    public List<Slice> of(String account) {
        return byAccount.get(account);
    }

    /** Returns the units that each account owns on {@code target}. */
    public Map<String, Integer> on(String target) {
        return byTarget.getOrDefault(target, Map.of());
    }

    /** Returns how many slices of {@code account}'s guarantee could not be assigned. */
    public int owed(String account) {
        return owed.getOrDefault(account, 0);
    }

    /** Returns the slices owed to all accounts together. */
    public int owed() {
        return owed.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** One run of the assignment; confined to one thread. */
    private static final class Assignment {
        private final Shape shape;
        private final Map<String, Place> places;
        private final Map<String, Map<String, Integer>> owned = new HashMap<>();
        private final ImmutableListMultimap.Builder<String, Slice> slices = ImmutableListMultimap.builder();
        private final ImmutableMap.Builder<String, Integer> owed = ImmutableMap.builder();

        Assignment(Shape shape, List<Place> places) {
            this.shape = shape;
            this.places = new LinkedHashMap<>();
            places.forEach(p -> this.places.put(p.target(), p));
        }

        Shares run(List<ClientAccount> accounts, Shares previous) {
            Map<String, List<String>> kept = new HashMap<>();
            for (ClientAccount account : accounts) {
                kept.put(account.name(), keep(account.name(), previous));
            }
            for (ClientAccount account : accounts) {
                complete(account.name(), kept.get(account.name()));
            }
            return new Shares(slices.build(), owed.build());
        }

        private List<String> keep(String account, Shares previous) {
            List<String> kept = new ArrayList<>();
            for (Slice slice : previous.of(account)) {
                if (kept.size() < shape.targets() && room(account, places.get(slice.target())) >= 0) {
                    own(account, slice.target());
                    kept.add(slice.target());
                }
            }
            return kept;
        }

        private void complete(String account, List<String> kept) {
            List<String> chosen = extend(account, kept);
            if (chosen.size() < shape.targets() && !kept.isEmpty()) {
                kept.forEach(t -> owned.get(t).remove(account));
                List<String> fresh = extend(account, List.of());
                chosen = fresh.size() == shape.targets() ? fresh : chosen;
            }
            for (String target : chosen) {
                own(account, target);
                slices.put(account, new Slice(account, target, shape.acceleratorsPerTarget()));
            }
            if (chosen.size() < shape.targets()) {
                owed.put(account, shape.targets() - chosen.size());
            }
        }

        /** Returns {@code kept} with as many further targets as the shape needs and one rack or all racks can give. */
        private List<String> extend(String account, List<String> kept) {
            if (shape.adjacency() == Adjacency.SAME_DATA_CENTRE) {
                return fill(account, kept, places.values());
            }
            List<String> best = kept;
            Map<String, List<Place>> racks = places.values().stream()
                    .collect(Collectors.groupingBy(Place::rack, LinkedHashMap::new, Collectors.toList()));
            for (List<Place> rack : racks.values()) {
                Set<String> inRack = rack.stream().map(Place::target).collect(Collectors.toSet());
                if (!inRack.containsAll(kept)) {
                    continue;
                }
                List<String> filled = fill(account, kept, rack);
                if (filled.size() > best.size()) {
                    best = filled;
                }
            }
            return best;
        }

        /** Prefers the targets with the least room left, so that whole targets stay unowned. */
        private List<String> fill(String account, List<String> kept, Iterable<Place> from) {
            List<Place> candidates = new ArrayList<>();
            for (Place place : from) {
                if (!kept.contains(place.target()) && room(account, place) >= 0) {
                    candidates.add(place);
                }
            }
            candidates.sort(Comparator.comparingInt((Place p) -> room(account, p)));
            List<String> filled = new ArrayList<>(kept);
            for (Place place : candidates) {
                if (filled.size() == shape.targets()) {
                    break;
                }
                filled.add(place.target());
            }
            return filled;
        }

        private void own(String account, String target) {
            owned.computeIfAbsent(target, t -> new HashMap<>()).put(account, shape.acceleratorsPerTarget());
        }

        /** Returns the accelerators left on {@code place} once {@code account} owns a slice; negative if none. */
        private int room(String account, Place place) {
            if (place == null) {
                return -1;
            }
            Map<String, Integer> slicesHere = new HashMap<>(owned.getOrDefault(place.target(), Map.of()));
            slicesHere.put(account, shape.acceleratorsPerTarget());
            return place.capacity() - committed(slicesHere, place.irrevocable());
        }
    }

    /** Returns the units that must stay available when each account keeps the larger of the two amounts. */
    public static int committed(Map<String, Integer> owned, Map<String, Integer> irrevocable) {
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
