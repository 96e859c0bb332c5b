package org.acaciaport.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Decides whether a {@link Configuration} may be accepted. Publishing and replay run the same check, so a record that
 * one process accepts is accepted by all.
 *
 * <p>Stateless apart from the problems of one call; not shared between threads.
 */
public final class ConfigurationCheck {
    /** Most members of one gang. */
    public static final int MAX_GANG_SIZE = 1024;

    /** Highest priority of a profile. */
    public static final int MAX_PRIORITY = 1000;

    private final Configuration configuration;
    private final List<String> problems = new ArrayList<>();

    private ConfigurationCheck(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Checks a whole configuration.
     *
     * @throws ConfigurationException if anything is wrong; it lists every problem
     */
    public static void check(Configuration configuration) throws ConfigurationException {
        ConfigurationCheck check = new ConfigurationCheck(configuration);
        check.names();
        configuration.targets().forEach(check::target);
        configuration.guarantees().forEach(check::guarantee);
        configuration.profiles().forEach(check::profile);
        check.precedence();
        if (!check.problems.isEmpty()) {
            throw new ConfigurationException(check.problems);
        }
    }

    private void names() {
        unique("data-centres", configuration.dataCentres(), DataCentre::name);
        unique("targets", configuration.targets(), Target::id);
        unique("accounts", configuration.accounts(), ClientAccount::name);
        unique("guarantees", configuration.guarantees(), Guarantee::dataCentre);
        unique("profiles", configuration.profiles(), Profile::name);
        require(!configuration.dataCentres().isEmpty(), "data-centres: is empty; add at least one");
        require(!configuration.accounts().isEmpty(), "accounts: is empty; add at least one");
    }

    private <T> void unique(String table, List<T> entries, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (T entry : entries) {
            String value = name.apply(entry);
            require(
                    value.matches("[a-z0-9][a-z0-9.-]{0,62}"),
                    table + ": bad name '" + value + "'; use lower-case letters, digits, '.' and '-', at most 63");
            require(seen.add(value), table + ": '" + value + "' stands twice; remove one");
        }
    }

    private void target(Target target) {
        String at = "targets." + target.id() + ": ";
        require(
                configuration.hasDataCentre(target.dataCentre()),
                at + "unknown data-centre '" + target.dataCentre() + "'; add it to data-centres");
        require(
                target.address().matches("http://[0-9.]+:[0-9]+(/.*)?"),
                at + "address '" + target.address() + "' is not http://IP:PORT/...; use an IP number");
        between(at + "processors", target.processors(), 1, 4096);
        between(at + "memory-mb", target.memoryMb(), 1, 1 << 26);
        between(at + "accelerators", target.accelerators(), 1, 64);
        between(at + "slots", target.slots(), target.accelerators(), 1024);
        between(at + "connections", target.connections(), 1, 1024);
    }

    private void guarantee(Guarantee guarantee) {
        String at = "guarantees." + guarantee.dataCentre() + ": ";
        if (!configuration.hasDataCentre(guarantee.dataCentre())) {
            problems.add(at + "unknown data-centre; add it to data-centres or remove the guarantee");
            return;
        }
        if (!shape(at, guarantee.shape())) {
            return;
        }
        int owned = Shares.unassigned(configuration, guarantee.dataCentre());
        require(
                owned == 0,
                at + guarantee.shape() + " for each of "
                        + configuration.accounts().size() + " accounts does not fit (" + owned
                        + " accounts short); make the shape smaller or add targets");
    }

    private void profile(Profile profile) {
        String at = "profiles." + profile.name() + ": ";
        shape(at, profile.shape());
        between(at + "processors", profile.processors(), 0, 4096);
        between(at + "memory-mb", profile.memoryMb(), 0, 1 << 26);
        between(at + "priority", profile.priority(), 0, MAX_PRIORITY);
        between(at + "queue-limit-millis", profile.queueLimitMillis(), 100, 7L * 86_400_000);
        between(at + "run-limit-millis", profile.runLimitMillis(), 100, 30L * 86_400_000);
        require(
                profile.idempotent() || !profile.borrows() || profile.revocable(),
                at + "borrows without being idempotent; allow both checkpoint and stop, or set borrows = false");
    }

    private void precedence() {
        for (Profile profile : configuration.profiles()) {
            String at = "profiles." + profile.name() + ".precedes: ";
            for (String name : profile.precedes()) {
                Profile other = configuration.profile(name).orElse(null);
                if (other == null) {
                    problems.add(at + "unknown profile '" + name + "'; add it or remove the name");
                    continue;
                }
                require(
                        other.priority() < profile.priority(),
                        at + "'" + name + "' has priority " + other.priority() + ", not below " + profile.priority()
                                + "; lower it");
            }
        }
    }

    private boolean shape(String at, Shape shape) {
        int before = problems.size();
        between(at + "accelerators-per-target", shape.acceleratorsPerTarget(), 1, 64);
        between(at + "targets", shape.targets(), 1, MAX_GANG_SIZE);
        require(
                shape.adjacency() != Adjacency.SAME_TARGET || shape.targets() == 1,
                at + "adjacency same-target with " + shape.targets() + " targets; use 1 target or same-rack");
        return problems.size() == before;
    }

    private void between(String what, long value, long low, long high) {
        require(value >= low && value <= high, what + " = " + value + " is out of range; use " + low + " to " + high);
    }

    private void require(boolean condition, String problem) {
        if (!condition) {
            problems.add(problem);
        }
    }
}
