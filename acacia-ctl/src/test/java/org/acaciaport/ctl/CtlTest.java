package org.acaciaport.ctl;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.acaciaport.program.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the command line: what it accepts and how it ends. */
final class CtlTest {
    private static final Path SAMPLES = Path.of("..", "samples");

    @TempDir
    Path folder;

    @Test
    void bothSampleConfigurationsAreGood() {
        for (String deployment : new String[] {"kigali", "dk-vest"}) {
            String file =
                    SAMPLES.resolve(deployment).resolve("configuration.toml").toString();
            assertThat(CtlMain.run("config", "check", file)).isEqualTo(ExitCode.OK);
        }
    }

    @Test
    void helpAndVersionEndWell() {
        assertThat(CtlMain.run("--help")).isEqualTo(ExitCode.OK);
        assertThat(CtlMain.run("version")).isEqualTo(ExitCode.OK);
    }

    @Test
    void settingsAreCheckedWithoutACommand() {
        String good = SAMPLES.resolve("kigali").resolve("acaciactl.toml").toString();
        String other = SAMPLES.resolve("kigali").resolve("configuration.toml").toString();
        assertThat(CtlMain.run("--settings", good, "--check-settings")).isEqualTo(ExitCode.OK);
        assertThat(CtlMain.run("--settings", other, "--check-settings")).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void wrongArgumentsAreUsageErrors() {
        assertThat(CtlMain.run("fly")).isEqualTo(ExitCode.USAGE);
        assertThat(CtlMain.run("dc", "list")).isEqualTo(ExitCode.USAGE);
        assertThat(CtlMain.run("submit", "--account", "a")).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void configurationThatDoesNotFitIsRefusedWithEveryProblem() throws Exception {
        String good = Files.readString(SAMPLES.resolve("kigali").resolve("configuration.toml"));
        String bad = good.replace("idempotent = false", "idempotent = false\nborrows = true")
                .replace("priority = 50", "priority = 500")
                .replace("http://127.0.0.1:7003/targets/gasabo-08", "http://gasabo/x");
        Path file = folder.resolve("bad.toml");
        Files.writeString(file, bad.replace("borrows = true\nborrows = false", "borrows = true"));
        String errors = errorsOf("config", "check", file.toString());
        assertThat(errors).contains("bad.toml");
        assertThat(errors).contains("'proof' has priority 500");
        assertThat(errors).contains("use an IP number");
    }

    @Test
    void guaranteeThatDoesNotFitIsRefused() throws Exception {
        String good = Files.readString(SAMPLES.resolve("kigali").resolve("configuration.toml"));
        Path file = folder.resolve("large.toml");
        Files.writeString(
                file,
                good.replace("accelerators-per-target = 4, targets = 3", "accelerators-per-target = 8, targets = 3"));
        assertThat(errorsOf("config", "check", file.toString())).contains("does not fit");
    }

    @Test
    void unreachablePlatformIsToldApart() throws Exception {
        Path file = folder.resolve("ctl.toml");
        Files.writeString(
                file,
                "operator = \"op\"\nplatform = \"http://127.0.0.1:1\"\ncallers = [\"http://127.0.0.1:1\"]\n"
                        + "operators = [\"http://127.0.0.1:1\"]\n");
        assertThat(CtlMain.run("--settings", file.toString(), "dc", "list")).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(CtlMain.run("--settings", file.toString(), "dc", "out", "x")).isEqualTo(ExitCode.UNAVAILABLE);
    }

    private static String errorsOf(String... arguments) {
        PrintStream before = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            assertThat(CtlMain.run(arguments)).isEqualTo(ExitCode.USAGE);
        } finally {
            System.setErr(before);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
