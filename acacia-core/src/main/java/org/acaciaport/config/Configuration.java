package org.acaciaport.config;

import java.util.List;
import java.util.Optional;

/**
 * One whole configuration as operators publish it.
 *
 * <p>Immutable. Only {@link ConfigurationCheck} says whether it is consistent; the record accepts any content.
 *
 * @param dataCentres all data centres
 * @param targets all targets
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
    /** A configuration with nothing in it. */
    public static final Configuration EMPTY = new Configuration(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. */
    public Configuration {
        dataCentres = List.copyOf(dataCentres);
        targets = List.copyOf(targets);
        accounts = List.copyOf(accounts);
        guarantees = List.copyOf(guarantees);
        profiles = List.copyOf(profiles);
    }

    /** Returns the profile called {@code name}. */
    public Optional<Profile> profile(String name) {
        return profiles.stream().filter(p -> p.name().equals(name)).findFirst();
    }

    /** Returns whether there is an account called {@code name}. */
    public boolean hasAccount(String name) {
        return accounts.stream().anyMatch(a -> a.name().equals(name));
    }

    /** Returns whether there is a data centre called {@code name}. */
    public boolean hasDataCentre(String name) {
        return dataCentres.stream().anyMatch(d -> d.name().equals(name));
    }

    /** Returns the targets of {@code dataCentre}, in published order. */
    public List<Target> targetsOf(String dataCentre) {
        return targets.stream().filter(t -> t.dataCentre().equals(dataCentre)).toList();
    }

    /** Returns the guarantee that holds in {@code dataCentre}. */
    public Optional<Guarantee> guaranteeOf(String dataCentre) {
        return guarantees.stream()
                .filter(g -> g.dataCentre().equals(dataCentre))
                .findFirst();
    }
}
