package org.acaciaport.config;

import java.util.List;

/** Thrown for a configuration that must be refused whole; each problem names its place and remedy. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final List<String> problems;

    /** Creates an exception that lists {@code problems}. */
    public ConfigurationException(List<String> problems) {
        super("configuration refused: " + String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /** Returns every problem found, each with its remedy. */
    public List<String> problems() {
        return problems;
    }
}
