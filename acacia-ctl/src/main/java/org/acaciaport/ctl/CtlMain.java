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

/** The {@code acaciactl} program. */
public final class CtlMain {
    private static final String NAME = "acaciactl";

    private CtlMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(run(arguments).code());
    }

    /** Runs one command and returns how it ended. */
    static ExitCode run(String... arguments) {
        Logs.configure(new LogSettings("text", "warn"));
        ArgumentParser parser = parser();
        try {
            return run(parser.parseArgs(withCommand(arguments)));
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitCode.USAGE;
        } catch (CtlException e) {
            System.err.println(NAME + ": " + e.getMessage());
            return e.code();
        } catch (SettingsException e) {
            System.err.println(NAME + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (HttpStartException e) {
            System.err.println(NAME + ": " + e.getMessage());
            return ExitCode.UNAVAILABLE;
        }
    }

    /** A check of the settings needs no command, but the parser wants one. */
    private static String[] withCommand(String[] arguments) {
        List<String> words = new ArrayList<>(List.of(arguments));
        if (!words.isEmpty() && words.getLast().equals("--check-settings")) {
            words.add("version");
        }
        return words.toArray(String[]::new);
    }

    private static ExitCode run(Namespace parsed) throws CtlException, SettingsException, HttpStartException {
        Output out = new Output(System.out, parsed.getBoolean("json"));
        if (parsed.getBoolean("check_settings")) {
            out.line(parsed.getString("settings") + ": settings are good", settings(parsed));
            return ExitCode.OK;
        }
        if (parsed.getString("command").equals("version")) {
            out.line(NAME + " " + ServerProgram.version(), ServerProgram.version());
            return ExitCode.OK;
        }
        if (parsed.getString("command").equals("config check")) {
            Configuration configuration = Commands.readConfiguration(parsed.getString("file"));
            out.line(
                    parsed.getString("file") + ": good, "
                            + configuration.targets().size() + " targets, "
                            + configuration.profiles().size() + " profiles",
                    configuration);
            return ExitCode.OK;
        }
        CtlSettings settings = settings(parsed);
        try (JsonClient client = JsonClient.start()) {
            Gateways gateways = new Gateways(client, settings);
            Publisher publisher = new Publisher(new HttpPlatform(client, settings.platform()), gateways, settings);
            return new Commands(settings, gateways, publisher, out).run(parsed);
        }
    }

    private static CtlSettings settings(Namespace parsed) throws SettingsException {
        String file = parsed.getString("settings");
        if (file == null) {
            throw new SettingsException("no settings; give --settings FILE before the command");
        }
        return Settings.load(Path.of(file), CtlSettings.class);
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor(NAME)
                .build()
                .description("Publishes configuration, takes data centres out and in, and handles requests.")
                .version(NAME + " " + ServerProgram.version())
                .epilog("Exit codes: 0 done, 1 the answer is no, 2 wrong arguments or settings, 3 not reachable.");
        parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
        parser.addArgument("--settings").metavar("FILE").help("TOML settings");
        parser.addArgument("--check-settings")
                .action(Arguments.storeTrue())
                .help("check the settings and exit without calling anything");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON instead of tables");
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        addConfig(commands);
        addProfile(commands);
        addDataCentre(commands);
        addRequests(commands);
        Subparser targets = command(commands, "targets", "targets", "list the targets of a data centre");
        targets.addArgument("data-centre").dest("data_centre");
        command(commands, "version", "version", "print the version");
        return parser;
    }

    private static void addConfig(Subparsers commands) {
        Subparsers config = group(commands, "config", "check, publish or show the configuration");
        command(config, "check", "config check", "check a file").addArgument("file");
        Subparser publish = command(config, "publish", "config publish", "check a file and put it in force");
        publish.addArgument("file");
        publish.addArgument("--base")
                .type(Long.class)
                .help("revision that the file was made from; the one in force if left out");
        command(config, "show", "config show", "show the configuration in force");
    }

    private static void addProfile(Subparsers commands) {
        Subparsers profile = group(commands, "profile", "list or show profiles");
        command(profile, "list", "profile list", "list the profiles in force");
        command(profile, "show", "profile show", "show one profile").addArgument("name");
    }

    private static void addDataCentre(Subparsers commands) {
        Subparsers dataCentre = group(commands, "dc", "list data centres, take one out of service or bring it back");
        command(dataCentre, "list", "dc list", "list the data centres");
        command(dataCentre, "out", "dc out", "take a data centre out of service")
                .addArgument("name");
        command(dataCentre, "in", "dc in", "bring a data centre back").addArgument("name");
    }

    private static void addRequests(Subparsers commands) {
        Subparser submit = command(commands, "submit", "submit", "submit a request");
        submit.addArgument("--account").required(true).help("client account");
        submit.addArgument("--profile").required(true).help("profile");
        submit.addArgument("--key").help("idempotency key; made up if left out");
        submit.addArgument("--payload").setDefault("").help("input for the targets");
        submit.addArgument("--wait")
                .type(Long.class)
                .setDefault(0L)
                .metavar("MILLIS")
                .help("wait for the answer, up to 60000 ms");
        Subparser status = command(commands, "status", "status", "show where a request stands");
        status.addArgument("request");
        status.addArgument("--wait")
                .type(Long.class)
                .setDefault(0L)
                .metavar("MILLIS")
                .help("wait for the answer, up to 60000 ms");
        command(commands, "cancel", "cancel", "cancel a request").addArgument("request");
        command(commands, "explain", "explain", "show the decisions about a request")
                .addArgument("request");
    }

    private static Subparsers group(Subparsers parent, String name, String help) {
        return parent.addParser(name)
                .help(help)
                .addSubparsers()
                .title("commands")
                .metavar("COMMAND");
    }

    private static Subparser command(Subparsers parent, String name, String command, String help) {
        return parent.addParser(name).help(help).setDefault("command", command);
    }
}
