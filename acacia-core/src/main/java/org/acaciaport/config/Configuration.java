package org.acaciaport.config;

import java.util.List;
import java.util.Optional;

/**
 * A complete configuration as operators publish it.
 *
 * <p>Immutable. The constructor accepts any content; {@link ConfigurationCheck} validates it.
 *
 * @param dataCentres all data centres
 * @param targets the targets of all data centres
 * @param accounts all client accounts
 * @param guarantees at most one for each data centre
 * @param profiles all profiles
 */
public record Configuration(
        List<DataCentre> dataCentres,
        List<Target> targets,
        List<ClientAccount> accounts,
        List<Guarantee> guarantees,
        List<Profile> profiles) {
    /** The configuration without any entries. */
    public static final Configuration EMPTY = new Configuration(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Makes defensive copies of the lists. */
    public Configuration {
        dataCentres = List.copyOf(dataCentres);
        targets = List.copyOf(targets);
        accounts = List.copyOf(accounts);
        guarantees = List.copyOf(guarantees);
        profiles = List.copyOf(profiles);
    }

    /** Returns the profile named {@code name}, if it exists. */
    public Optional<Profile> profile(String name) {
        return profiles.stream().filter(p -> p.name().equals(name)).findFirst();
    }

    /** Returns whether there is an account named {@code name}. */
    public boolean hasAccount(String name) {
        return accounts.stream().anyMatch(a -> a.name().equals(name));
    }

    /** Returns whether there is a data centre named {@code name}. */
    public boolean hasDataCentre(String name) {
        return dataCentres.stream().anyMatch(d -> d.name().equals(name));
    }

    /** Returns the targets of {@code dataCentre}, in the order in which they were published. */
    public List<Target> targetsOf(String dataCentre) {
        return targets.stream().filter(t -> t.dataCentre().equals(dataCentre)).toList();
    }

    /** Returns the guarantee that applies in {@code dataCentre}, if there is one. */
    public Optional<Guarantee> guaranteeOf(String dataCentre) {
        return guarantees.stream()
                .filter(g -> g.dataCentre().equals(dataCentre))
                .findFirst();
    }
}
