package org.acaciaport.decision;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.acaciaport.config.Adjacency;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.acaciaport.config.Shape;
import org.acaciaport.config.Treatment;
import org.acaciaport.program.Settings;
import org.acaciaport.program.SettingsException;

/** Configurations of the sample deployments, with profiles adapted to simulations of a few virtual hours. */
final class Deployments {
    private static final long MAX_RUN_MILLIS = 60_000;
    private static final long MAX_QUEUE_MILLIS = 600_000;

    private Deployments() {}

    /** Reads the sample {@code name} of the repository at {@code root} and adapts its profiles. */
    static Configuration read(Path root, String name) throws SettingsException {
        Path file = root.resolve("samples").resolve(name).resolve("configuration.toml");
        Configuration sample = Settings.read(file, Configuration.class);
        return new Configuration(
                sample.dataCentres(),
                sample.targets(),
                sample.accounts(),
                sample.guarantees(),
                profilesForRuns(sample.profiles()));
    }

    /** Returns the name of the first data centre of {@code configuration}. */
    static String firstDataCentre(Configuration configuration) {
        return configuration.dataCentres().getFirst().name();
    }

    /** Returns the profiles of the sample and two more: one that fits on no target, one that can be checkpointed. */
    private static List<Profile> profilesForRuns(List<Profile> sample) {
        List<Profile> profiles = new ArrayList<>();
        for (Profile profile : sample) {
            profiles.add(withCappedLimits(profile));
        }
        profiles.add(new Profile(
                "impossible",
                new Shape(60, 1, Adjacency.SAME_TARGET),
                1,
                1,
                5,
                true,
                false,
                List.of(),
                List.of(),
                MAX_QUEUE_MILLIS,
                MAX_RUN_MILLIS));
        profiles.add(new Profile(
                "movable-once",
                new Shape(2, 1, Adjacency.SAME_TARGET),
                1,
                1,
                30,
                false,
                true,
                List.of(Treatment.CHECKPOINT, Treatment.STOP),
                List.of(),
                MAX_QUEUE_MILLIS,
                MAX_RUN_MILLIS));
        return profiles;
    }

    private static Profile withCappedLimits(Profile profile) {
        return new Profile(
                profile.name(),
                profile.shape(),
                profile.processors(),
                profile.memoryMb(),
                profile.priority(),
                profile.idempotent(),
                profile.borrows(),
                profile.treatments(),
                profile.precedes(),
                Math.min(MAX_QUEUE_MILLIS, profile.queueLimitMillis()),
                Math.min(MAX_RUN_MILLIS, profile.runLimitMillis()));
    }
}
