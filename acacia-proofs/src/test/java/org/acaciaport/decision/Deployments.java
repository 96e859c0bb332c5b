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

/** The sample deployments, with profiles fit for runs of a few virtual hours. */
final class Deployments {
    private static final long RUN_MILLIS = 60_000;
    private static final long QUEUE_MILLIS = 600_000;

    private Deployments() {}

    /** Reads the sample called {@code name} from the root of the checkout. */
    static Configuration read(Path root, String name) throws SettingsException {
        Path file = root.resolve("samples").resolve(name).resolve("configuration.toml");
        Configuration sample = Settings.read(file, Configuration.class);
        return new Configuration(
                sample.dataCentres(),
                sample.targets(),
                sample.accounts(),
                sample.guarantees(),
                profiles(sample.profiles()));
    }

    /** Returns the name of the sample's first data centre. */
    static String first(Configuration configuration) {
        return configuration.dataCentres().getFirst().name();
    }

    private static List<Profile> profiles(List<Profile> sample) {
        List<Profile> profiles = new ArrayList<>();
        for (Profile p : sample) {
            profiles.add(limited(p));
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
                QUEUE_MILLIS,
                RUN_MILLIS));
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
                QUEUE_MILLIS,
                RUN_MILLIS));
        return profiles;
    }

    private static Profile limited(Profile p) {
        return new Profile(
                p.name(),
                p.shape(),
                p.processors(),
                p.memoryMb(),
                p.priority(),
                p.idempotent(),
                p.borrows(),
                p.treatments(),
                p.precedes(),
                Math.min(QUEUE_MILLIS, p.queueLimitMillis()),
                Math.min(RUN_MILLIS, p.runLimitMillis()));
    }
}
