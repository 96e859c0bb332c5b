package org.acaciaport.program;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.acaciaport.http.JsonErrors;
import org.acaciaport.wire.Codecs;

/**
 * Static methods that read TOML files into records. Unknown keys, missing keys, values of the wrong type and values out
 * of range are errors.
 *
 * <p>Thread-safe.
 */
public final class Settings {
    private static final ObjectMapper TOML =
            Codecs.configure(TomlMapper.builder()).build();

    private static final String MISSING = "(missing)";

    private Settings() {}

    /** A settings record that can validate its values. */
    public interface Checkable {
        /** Validates all values with {@code check}, which collects the problems. */
        void check(SettingsCheck check);
    }

    /**
     * Reads and validates {@code file}.
     *
     * @throws SettingsException if the file cannot be read, does not match {@code type}, or has invalid values
     */
    public static <T extends Checkable> T load(Path file, Class<T> type) throws SettingsException {
        T settings = read(file, type);
        SettingsCheck check = new SettingsCheck();
        settings.check(check);
        List<String> problems = check.problems();
        if (!problems.isEmpty()) {
            throw new SettingsException(file + ": " + String.join("; ", problems));
        }
        return settings;
    }

    /**
     * Reads {@code file} without validating its values.
     *
     * @throws SettingsException if the file cannot be read or does not match {@code type}
     */
    public static <T> T read(Path file, Class<T> type) throws SettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot be read (" + e + "); check the path and its permissions");
        }
        try {
            return TOML.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new SettingsException(file + ": " + describe(text, e));
        }
    }

    private static String describe(String text, JsonProcessingException error) {
        if (error instanceof UnrecognizedPropertyException unknown) {
            return "unknown key '" + JsonErrors.path(unknown) + "'; remove it or correct its name ("
                    + JsonErrors.describe(unknown) + ")";
        }
        if (error instanceof JsonMappingException mapping) {
            String path = JsonErrors.path(mapping);
            if (valueAt(text, path).equals(MISSING)) {
                return "key '" + path + "' is missing; add it as in the sample settings";
            }
            return "key '" + path + "' = " + valueAt(text, path) + ": " + firstLine(mapping.getOriginalMessage())
                    + "; see the sample settings for its type";
        }
        return JsonErrors.describe(error) + "; correct the syntax";
    }

    private static String valueAt(String text, String path) {
        try {
            JsonNode node = TOML.readTree(text).at("/" + path.replace('.', '/'));
            return node.isMissingNode() ? MISSING : node.toString();
        } catch (IOException e) {
            return "(unreadable)";
        }
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse("");
    }
}
