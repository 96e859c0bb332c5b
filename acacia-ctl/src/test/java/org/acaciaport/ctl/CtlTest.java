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

/** Tests which command lines {@code acaciactl} accepts, and with which exit codes and errors. */
final class CtlTest {
    private static final Path SAMPLES = Path.of("..", "samples");

    @TempDir
    Path directory;

    @Test
    void sampleConfigurationsAreValid() {
        for (String deployment : new String[] {"kigali", "dk-vest"}) {
            String file =
                    SAMPLES.resolve(deployment).resolve("configuration.toml").toString();
            assertThat(CtlMain.run("config", "check", file)).isEqualTo(ExitCode.OK);
        }
    }

    @Test
    void helpAndVersionSucceed() {
        assertThat(CtlMain.run("--help")).isEqualTo(ExitCode.OK);
        assertThat(CtlMain.run("version")).isEqualTo(ExitCode.OK);
    }

    @Test
    void settingsAreCheckedWithoutACommand() {
        String valid = SAMPLES.resolve("kigali").resolve("acaciactl.toml").toString();
        String wrongFile =
                SAMPLES.resolve("kigali").resolve("configuration.toml").toString();
        assertThat(CtlMain.run("--settings", valid, "--check-settings")).isEqualTo(ExitCode.OK);
        assertThat(CtlMain.run("--settings", wrongFile, "--check-settings")).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void wrongArgumentsAreUsageErrors() {
        assertThat(CtlMain.run("fly")).isEqualTo(ExitCode.USAGE);
        assertThat(CtlMain.run("dc", "list")).isEqualTo(ExitCode.USAGE);
        assertThat(CtlMain.run("submit", "--account", "a")).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void invalidConfigurationIsRejectedWithEveryProblem() throws Exception {
        String valid = Files.readString(SAMPLES.resolve("kigali").resolve("configuration.toml"));
        String invalid = valid.replace("idempotent = false", "idempotent = false\nborrows = true")
                .replace("priority = 50", "priority = 500")
                .replace("http://127.0.0.1:7003/targets/gasabo-08", "http://gasabo/x");
        Path file = directory.resolve("bad.toml");
        // A duplicate key would be a syntax error, which hides the problems that the test looks for.
        Files.writeString(file, invalid.replace("borrows = true\nborrows = false", "borrows = true"));
        String errors = errorsOf("config", "check", file.toString());
        assertThat(errors).contains("bad.toml");
        assertThat(errors).contains("'proof' has priority 500");
        assertThat(errors).contains("use an IP address");
    }

    @Test
    void guaranteeBeyondTheCapacityIsRejected() throws Exception {
        String valid = Files.readString(SAMPLES.resolve("kigali").resolve("configuration.toml"));
        Path file = directory.resolve("large.toml");
        Files.writeString(
                file,
                valid.replace("accelerators-per-target = 4, targets = 3", "accelerators-per-target = 8, targets = 3"));
        assertThat(errorsOf("config", "check", file.toString())).contains("does not fit");
    }

    @Test
    void unreachableGatewayOrPlatformIsReportedAsUnavailable() throws Exception {
        Path file = directory.resolve("ctl.toml");
        Files.writeString(
                file,
                "operator = \"op\"\nplatform = \"http://127.0.0.1:1\"\ncallers = [\"http://127.0.0.1:1\"]\n"
                        + "operators = [\"http://127.0.0.1:1\"]\n");
        assertThat(CtlMain.run("--settings", file.toString(), "dc", "list")).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(CtlMain.run("--settings", file.toString(), "dc", "out", "x")).isEqualTo(ExitCode.UNAVAILABLE);
    }

    private static String errorsOf(String... arguments) {
        PrintStream originalErr = System.err;
        ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
        System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
        try {
            assertThat(CtlMain.run(arguments)).isEqualTo(ExitCode.USAGE);
        } finally {
            System.setErr(originalErr);
        }
        return capturedErr.toString(StandardCharsets.UTF_8);
    }
}
