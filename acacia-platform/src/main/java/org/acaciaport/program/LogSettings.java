package org.acaciaport.program;

/**
 * Settings of a program's logging.
 *
 * <p>Immutable.
 *
 * @param format {@code text} or {@code json}
 * @param level {@code debug}, {@code info}, {@code warn} or {@code error}
 */
public record LogSettings(String format, String level) implements Settings.Checkable {
    @Override
    public void check(SettingsCheck check) {
        check.matches("log.format", format, "text|json", "text or json");
        check.matches("log.level", level, "debug|info|warn|error", "debug, info, warn or error");
    }
}
