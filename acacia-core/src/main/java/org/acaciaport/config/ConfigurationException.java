package org.acaciaport.config;

import java.util.List;

/** Thrown when a configuration is invalid. Each problem names the key at fault and how to correct it. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final List<String> problems;

    /** Creates an exception that lists {@code problems}. */
    public ConfigurationException(List<String> problems) {
        super("configuration refused: " + String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems found. */
    public List<String> problems() {
        return problems;
    }
}
