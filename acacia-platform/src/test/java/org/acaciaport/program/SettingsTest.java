package org.acaciaport.program;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of how settings files are read and refused. */
final class SettingsTest {
    private static final String GOOD = "name = \"vm-1\"\naddress = \"127.0.0.1:7000\"\nmillis = 500\n";

    @TempDir
    Path folder;

    /** Settings of a program that exists only here. */
    record Sample(String name, String address, long millis) implements Settings.Checkable {
        @Override
        public void check(SettingsCheck check) {
            check.name("name", name);
            check.address("address", address);
            check.between("millis", millis, 100, 1_000);
        }
    }

    @Test
    void goodSettingsAreRead() throws Exception {
        assertThat(load(GOOD)).isEqualTo(new Sample("vm-1", "127.0.0.1:7000", 500));
    }

    @Test
    void unknownKeyIsNamedWithTheKnownOnes() {
        refused(GOOD + "colour = 1\n", "unknown key 'colour'", "address, millis, name");
    }

    @Test
    void missingKeyIsNamed() {
        refused("name = \"vm-1\"\naddress = \"127.0.0.1:7000\"\n", "'millis'", "sample settings");
    }

    @Test
    void wrongTypeNamesKeyAndValue() {
        refused(GOOD.replace("500", "\"soon\""), "key 'millis' = \"soon\"", "sample settings");
    }

    @Test
    void fractionIsNoWholeNumber() {
        refused(GOOD.replace("500", "500.5"), "key 'millis' = 500.5", "sample settings");
    }

    @Test
    void valueOutOfRangeNamesTheRange() {
        refused(GOOD.replace("500", "5000"), "key 'millis' = 5000 is out of range", "use 100 to 1000");
    }

    @Test
    void hostNameIsNoAddress() {
        refused(GOOD.replace("127.0.0.1", "localhost"), "key 'address'", "use an IP number");
    }

    @Test
    void portBeyondTheLastIsNoAddress() {
        refused(GOOD.replace("7000", "70000"), "key 'address'", "use an IP number");
    }

    @Test
    void repeatedKeyIsRefused() {
        refused(GOOD + "millis = 600\n", "line", "correct the syntax");
    }

    @Test
    void brokenSyntaxNamesTheLine() {
        refused("name = \n", "line 1", "correct the syntax");
    }

    @Test
    void missingFileNamesItsPath() {
        SettingsException e =
                assertThrows(SettingsException.class, () -> Settings.load(folder.resolve("none.toml"), Sample.class));
        assertThat(e).hasMessageThat().contains("none.toml");
        assertThat(e).hasMessageThat().contains("check the path");
    }

    private Sample load(String text) throws Exception {
        Path file = folder.resolve("sample.toml");
        Files.writeString(file, text);
        return Settings.load(file, Sample.class);
    }

    private void refused(String text, String problem, String remedy) {
        SettingsException e = assertThrows(SettingsException.class, () -> load(text));
        assertThat(e).hasMessageThat().contains("sample.toml");
        assertThat(e).hasMessageThat().contains(problem);
        assertThat(e).hasMessageThat().contains(remedy);
    }
}
