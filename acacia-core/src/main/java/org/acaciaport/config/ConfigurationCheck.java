package org.acaciaport.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Validates a {@link Configuration}. Both publishing and log replay use this validation, so all processes agree on
 * whether a published record takes effect.
 *
 * <p>An instance holds the problems found in one configuration and is confined to one call of {@link #check}.
 */
public final class ConfigurationCheck {
    /** Maximum number of members of one gang. */
    public static final int MAX_GANG_SIZE = 1024;

    /** Highest allowed priority of a profile. */
    public static final int MAX_PRIORITY = 1000;

    private static final int MAX_PROCESSORS = 4096;
    private static final int MAX_MEMORY_MB = 1 << 26;
    private static final int MAX_ACCELERATORS = 64;
    private static final int MAX_SLOTS = 1024;
    private static final int MAX_CONNECTIONS = 1024;
    private static final long MIN_LIMIT_MILLIS = 100;
    private static final long MAX_QUEUE_LIMIT_MILLIS = Duration.ofDays(7).toMillis();
    private static final long MAX_RUN_LIMIT_MILLIS = Duration.ofDays(30).toMillis();

    private final Configuration configuration;
    private final List<String> problems = new ArrayList<>();

    private ConfigurationCheck(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Checks that {@code configuration} is valid.
     *
     * @throws ConfigurationException if it is not; lists all problems found
     */
    public static void check(Configuration configuration) throws ConfigurationException {
        ConfigurationCheck check = new ConfigurationCheck(configuration);
        check.checkNames();
        configuration.targets().forEach(check::checkTarget);
        configuration.guarantees().forEach(check::checkGuarantee);
        configuration.profiles().forEach(check::checkProfile);
        check.checkPrecedence();
        if (!check.problems.isEmpty()) {
            throw new ConfigurationException(check.problems);
        }
    }

    private void checkNames() {
        checkUniqueNames("data-centres", configuration.dataCentres(), DataCentre::name);
        checkUniqueNames("targets", configuration.targets(), Target::id);
        checkUniqueNames("accounts", configuration.accounts(), ClientAccount::name);
        checkUniqueNames("guarantees", configuration.guarantees(), Guarantee::dataCentre);
        checkUniqueNames("profiles", configuration.profiles(), Profile::name);
        require(!configuration.dataCentres().isEmpty(), "data-centres: is empty; add at least one");
        require(!configuration.accounts().isEmpty(), "accounts: is empty; add at least one");
    }

    private <T> void checkUniqueNames(String table, List<T> entries, Function<T, String> nameOf) {
        Set<String> seen = new HashSet<>();
        for (T entry : entries) {
            String name = nameOf.apply(entry);
            require(
                    name.matches("[a-z0-9][a-z0-9.-]{0,62}"),
                    table + ": invalid name '" + name + "'; use lower-case letters, digits, '.' and '-', at most 63");
            require(seen.add(name), table + ": '" + name + "' is listed twice; remove one");
        }
    }

    private void checkTarget(Target target) {
        String prefix = "targets." + target.id() + ": ";
        require(
                configuration.hasDataCentre(target.dataCentre()),
                prefix + "unknown data-centre '" + target.dataCentre() + "'; add it to data-centres");
        require(
                target.address().matches("http://[0-9.]+:[0-9]+(/.*)?"),
                prefix + "address '" + target.address() + "' is not http://IP:PORT/...; use an IP address");
        requireInRange(prefix + "processors", target.processors(), 1, MAX_PROCESSORS);
        requireInRange(prefix + "memory-mb", target.memoryMb(), 1, MAX_MEMORY_MB);
        requireInRange(prefix + "accelerators", target.accelerators(), 1, MAX_ACCELERATORS);
        requireInRange(prefix + "slots", target.slots(), target.accelerators(), MAX_SLOTS);
        requireInRange(prefix + "connections", target.connections(), 1, MAX_CONNECTIONS);
    }

    private void checkGuarantee(Guarantee guarantee) {
        String prefix = "guarantees." + guarantee.dataCentre() + ": ";
        if (!configuration.hasDataCentre(guarantee.dataCentre())) {
            problems.add(prefix + "unknown data-centre; add it to data-centres or remove the guarantee");
            return;
        }
        if (!checkShape(prefix, guarantee.shape())) {
            return;
        }
        int unsatisfiedAccounts = SliceAssignment.countUnsatisfiedAccounts(configuration, guarantee.dataCentre());
        require(
                unsatisfiedAccounts == 0,
                prefix + guarantee.shape() + " for each of "
                        + configuration.accounts().size() + " accounts does not fit (" + unsatisfiedAccounts
                        + " accounts lack capacity); make the shape smaller or add targets");
    }

    private void checkProfile(Profile profile) {
        String prefix = "profiles." + profile.name() + ": ";
        checkShape(prefix, profile.shape());
        requireInRange(prefix + "processors", profile.processors(), 0, MAX_PROCESSORS);
        requireInRange(prefix + "memory-mb", profile.memoryMb(), 0, MAX_MEMORY_MB);
        requireInRange(prefix + "priority", profile.priority(), 0, MAX_PRIORITY);
        requireInRange(
                prefix + "queue-limit-millis", profile.queueLimitMillis(), MIN_LIMIT_MILLIS, MAX_QUEUE_LIMIT_MILLIS);
        requireInRange(prefix + "run-limit-millis", profile.runLimitMillis(), MIN_LIMIT_MILLIS, MAX_RUN_LIMIT_MILLIS);
        require(
                profile.idempotent() || !profile.borrows() || profile.revocable(),
                prefix + "borrows without being idempotent; allow both checkpoint and stop, or set borrows = false");
    }

    private void checkPrecedence() {
        for (Profile profile : configuration.profiles()) {
            String prefix = "profiles." + profile.name() + ".precedes: ";
            for (String lowerName : profile.precedes()) {
                Profile lower = configuration.profile(lowerName).orElse(null);
                if (lower == null) {
                    problems.add(prefix + "unknown profile '" + lowerName + "'; add it or remove the name");
                    continue;
                }
                require(
                        lower.priority() < profile.priority(),
                        prefix + "'" + lowerName + "' has priority " + lower.priority() + ", not below "
                                + profile.priority() + "; lower it");
            }
        }
    }

    /** Returns whether {@code shape} is valid; adds its problems otherwise. */
    private boolean checkShape(String prefix, Shape shape) {
        int problemsBefore = problems.size();
        requireInRange(prefix + "accelerators-per-target", shape.acceleratorsPerTarget(), 1, MAX_ACCELERATORS);
        requireInRange(prefix + "targets", shape.targets(), 1, MAX_GANG_SIZE);
        require(
                shape.adjacency() != Adjacency.SAME_TARGET || shape.targets() == 1,
                prefix + "adjacency same-target with " + shape.targets() + " targets; use 1 target or same-rack");
        return problems.size() == problemsBefore;
    }

    private void requireInRange(String key, long value, long min, long max) {
        require(value >= min && value <= max, key + " = " + value + " is out of range; use " + min + " to " + max);
    }

    /** Adds {@code problem} unless {@code condition} holds. */
    private void require(boolean condition, String problem) {
        if (!condition) {
            problems.add(problem);
        }
    }
}
