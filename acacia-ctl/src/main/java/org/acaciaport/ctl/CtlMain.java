package org.acaciaport.ctl;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.acaciaport.config.Configuration;
import org.acaciaport.http.HttpPlatform;
import org.acaciaport.http.HttpStartException;
import org.acaciaport.http.JsonClient;
import org.acaciaport.program.ExitCode;
import org.acaciaport.program.LogSettings;
import org.acaciaport.program.Logs;
import org.acaciaport.program.ServerProgram;
import org.acaciaport.program.Settings;
import org.acaciaport.program.SettingsException;

/** The entry point of the {@code acaciactl} program. */
public final class CtlMain {
    private static final String PROGRAM = "acaciactl";

    private CtlMain() {}

    /** Runs one command and exits. */
    public static void main(String[] arguments) {
        System.exit(run(arguments).code());
    }

    /** Runs one command, reports errors on the standard error stream, and returns the exit code. */
    static ExitCode run(String... arguments) {
        Logs.configure(new LogSettings("text", "warn"));
        ArgumentParser parser = createParser();
        try {
            return run(parser.parseArgs(withDefaultCommand(arguments)));
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitCode.USAGE;
        } catch (CtlException e) {
            System.err.println(PROGRAM + ": " + e.getMessage());
            return e.exitCode();
        } catch (SettingsException e) {
            System.err.println(PROGRAM + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (HttpStartException e) {
            System.err.println(PROGRAM + ": " + e.getMessage());
            return ExitCode.UNAVAILABLE;
        }
    }

    /** Appends a command to a bare {@code --check-settings}, which needs none although the parser requires one. */
    private static String[] withDefaultCommand(String[] arguments) {
        List<String> completed = new ArrayList<>(List.of(arguments));
        if (!completed.isEmpty() && completed.getLast().equals("--check-settings")) {
            completed.add("version");
        }
        return completed.toArray(String[]::new);
    }

    private static ExitCode run(Namespace arguments) throws CtlException, SettingsException, HttpStartException {
        Output out = new Output(System.out, arguments.getBoolean("json"));
        if (arguments.getBoolean("check_settings")) {
            out.print(arguments.getString("settings") + ": settings are good", readSettings(arguments));
            return ExitCode.OK;
        }
        if (arguments.getString("command").equals("version")) {
            out.print(PROGRAM + " " + ServerProgram.version(), ServerProgram.version());
            return ExitCode.OK;
        }
        if (arguments.getString("command").equals("config check")) {
            Configuration configuration = Commands.readConfiguration(arguments.getString("file"));
            out.print(
                    arguments.getString("file") + ": good, "
                            + configuration.targets().size() + " targets, "
                            + configuration.profiles().size() + " profiles",
                    configuration);
            return ExitCode.OK;
        }
        CtlSettings settings = readSettings(arguments);
        try (JsonClient client = JsonClient.start()) {
            GatewayClient gateways = new GatewayClient(client, settings);
            Publisher publisher = new Publisher(new HttpPlatform(client, settings.platform()), gateways, settings);
            return new Commands(settings, gateways, publisher, out).execute(arguments);
        }
    }

    private static CtlSettings readSettings(Namespace arguments) throws SettingsException {
        String file = arguments.getString("settings");
        if (file == null) {
            throw new SettingsException("no settings; give --settings FILE before the command");
        }
        return Settings.load(Path.of(file), CtlSettings.class);
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser = ArgumentParsers.newFor(PROGRAM)
                .build()
                .description("Publishes configuration, takes data centres out and in, and handles requests.")
                .version(PROGRAM + " " + ServerProgram.version())
                .epilog("Exit codes: 0 done, 1 the answer is no, 2 wrong arguments or settings, 3 not reachable.");
        parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
        parser.addArgument("--settings").metavar("FILE").help("TOML settings");
        parser.addArgument("--check-settings")
                .action(Arguments.storeTrue())
                .help("check the settings and exit without calling anything");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON instead of tables");
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        addConfigCommands(commands);
        addProfileCommands(commands);
        addDataCentreCommands(commands);
        addRequestCommands(commands);
        Subparser targets = addCommand(commands, "targets", "targets", "list the targets of a data centre");
        targets.addArgument("data-centre").dest("data_centre");
        addCommand(commands, "version", "version", "print the version");
        return parser;
    }

    private static void addConfigCommands(Subparsers commands) {
        Subparsers config = addGroup(commands, "config", "check, publish or show the configuration");
        addCommand(config, "check", "config check", "check a file").addArgument("file");
        Subparser publish = addCommand(config, "publish", "config publish", "check a file and put it in force");
        publish.addArgument("file");
        publish.addArgument("--base")
                .type(Long.class)
                .help("revision that the file is based on; the one in force if omitted");
        addCommand(config, "show", "config show", "show the configuration in force");
    }

    private static void addProfileCommands(Subparsers commands) {
        Subparsers profile = addGroup(commands, "profile", "list or show profiles");
        addCommand(profile, "list", "profile list", "list the profiles in force");
        addCommand(profile, "show", "profile show", "show one profile").addArgument("name");
    }

    private static void addDataCentreCommands(Subparsers commands) {
        Subparsers dataCentre = addGroup(commands, "dc", "list data centres, take one out of service or bring it back");
        addCommand(dataCentre, "list", "dc list", "list the data centres");
        addCommand(dataCentre, "out", "dc out", "take a data centre out of service")
                .addArgument("name");
        addCommand(dataCentre, "in", "dc in", "bring a data centre back").addArgument("name");
    }

    private static void addRequestCommands(Subparsers commands) {
        Subparser submit = addCommand(commands, "submit", "submit", "submit a request");
        submit.addArgument("--account").required(true).help("client account");
        submit.addArgument("--profile").required(true).help("profile");
        submit.addArgument("--key").help("idempotency key; generated if omitted");
        submit.addArgument("--payload").setDefault("").help("input for the request's tasks");
        submit.addArgument("--wait")
                .type(Long.class)
                .setDefault(0L)
                .metavar("MILLIS")
                .help("wait for the final answer, up to 60000 ms");
        Subparser status = addCommand(commands, "status", "status", "show where a request stands");
        status.addArgument("request");
        status.addArgument("--wait")
                .type(Long.class)
                .setDefault(0L)
                .metavar("MILLIS")
                .help("wait for the final answer, up to 60000 ms");
        addCommand(commands, "cancel", "cancel", "cancel a request").addArgument("request");
        addCommand(commands, "explain", "explain", "show the decisions about a request")
                .addArgument("request");
    }

    private static Subparsers addGroup(Subparsers parent, String name, String help) {
        return parent.addParser(name)
                .help(help)
                .addSubparsers()
                .title("commands")
                .metavar("COMMAND");
    }

    private static Subparser addCommand(Subparsers parent, String name, String command, String help) {
        return parent.addParser(name).help(help).setDefault("command", command);
    }
}
