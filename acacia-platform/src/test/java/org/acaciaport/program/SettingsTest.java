package org.acaciaport.program;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which settings files are accepted, and what the message says if one is rejected. */
final class SettingsTest {
    private static final String VALID = "name = \"vm-1\"\naddress = \"127.0.0.1:7000\"\nmillis = 500\n";

    @TempDir
    Path directory;

    /** Settings record of these tests. */
    record TestSettings(String name, String address, long millis) implements Settings.Checkable {
        @Override
        public void check(SettingsCheck check) {
            check.name("name", name);
            check.address("address", address);
            check.between("millis", millis, 100, 1_000);
        }
    }

    @Test
    void validSettingsAreRead() throws Exception {
        assertThat(load(VALID)).isEqualTo(new TestSettings("vm-1", "127.0.0.1:7000", 500));
    }

    @Test
    void unknownKeyIsReportedWithKnownKeys() {
        assertRejected(VALID + "colour = 1\n", "unknown key 'colour'", "address, millis, name");
    }

    @Test
    void missingKeyIsReported() {
        assertRejected("name = \"vm-1\"\naddress = \"127.0.0.1:7000\"\n", "'millis'", "sample settings");
    }

    @Test
    void wrongTypeIsReportedWithKeyAndValue() {
        assertRejected(VALID.replace("500", "\"soon\""), "key 'millis' = \"soon\"", "sample settings");
    }

    @Test
    void fractionIsRejectedForWholeNumber() {
        assertRejected(VALID.replace("500", "500.5"), "key 'millis' = 500.5", "sample settings");
    }

    @Test
    void valueOutOfRangeIsReportedWithRange() {
        assertRejected(VALID.replace("500", "5000"), "key 'millis' = 5000 is out of range", "use 100 to 1000");
    }

    @Test
    void hostNameIsRejectedAsAddress() {
        assertRejected(VALID.replace("127.0.0.1", "localhost"), "key 'address'", "use an IP address");
    }

    @Test
    void portAbove65535IsRejected() {
        assertRejected(VALID.replace("7000", "70000"), "key 'address'", "use an IP address");
    }

    @Test
    void duplicateKeyIsRejected() {
        assertRejected(VALID + "millis = 600\n", "line", "correct the syntax");
    }

    @Test
    void syntaxErrorIsReportedWithLine() {
        assertRejected("name = \n", "line 1", "correct the syntax");
    }

    @Test
    void missingFileIsReportedWithPath() {
        SettingsException e = assertThrows(
                SettingsException.class, () -> Settings.load(directory.resolve("none.toml"), TestSettings.class));
        assertThat(e).hasMessageThat().contains("none.toml");
        assertThat(e).hasMessageThat().contains("check the path");
    }

    private TestSettings load(String text) throws Exception {
        Path file = directory.resolve("sample.toml");
        Files.writeString(file, text);
        return Settings.load(file, TestSettings.class);
    }

    private void assertRejected(String text, String problem, String remedy) {
        SettingsException e = assertThrows(SettingsException.class, () -> load(text));
        assertThat(e).hasMessageThat().contains("sample.toml");
        assertThat(e).hasMessageThat().contains(problem);
        assertThat(e).hasMessageThat().contains(remedy);
    }
}
