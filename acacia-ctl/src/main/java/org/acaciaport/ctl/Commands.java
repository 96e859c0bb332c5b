package org.acaciaport.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.ConfigurationCheck;
import org.acaciaport.config.ConfigurationException;
import org.acaciaport.config.Profile;
import org.acaciaport.program.ExitCode;
import org.acaciaport.program.Settings;
import org.acaciaport.program.SettingsException;
import org.acaciaport.record.LogRecord;
import org.acaciaport.wire.Codecs;

/**
 * Executes the commands that need the gateways or the platform.
 *
 * <p>Not thread-safe.
 */
final class Commands {
    private final CtlSettings settings;
    private final GatewayClient gateways;
    private final Publisher publisher;
    private final Output out;

    Commands(CtlSettings settings, GatewayClient gateways, Publisher publisher, Output out) {
        this.settings = settings;
        this.gateways = gateways;
        this.publisher = publisher;
        this.out = out;
    }

    /**
     * The body of a submission.
     *
     * @param account name of the client account
     * @param profile name of the profile
     * @param key idempotency key
     * @param payload opaque input
     */
    private record Submission(String account, String profile, String key, String payload) {}

    /**
     * The result of a publication, as printed.
     *
     * @param revision the new revision
     * @param state a phrase that says where the revision is in force
     */
    private record Published(long revision, String state) {}

    /** Executes the command in {@code arguments} and returns the exit code. */
    ExitCode execute(Namespace arguments) throws CtlException {
        return switch (arguments.getString("command")) {
            case "config publish" -> publishConfiguration(arguments.getString("file"), arguments.getLong("base"));
            case "config show" -> showConfiguration();
            case "profile list" -> listProfiles();
            case "profile show" -> showProfile(arguments.getString("name"));
            case "dc list" -> listDataCentres();
            case "dc out" -> changeService(arguments.getString("name"), true);
            case "dc in" -> changeService(arguments.getString("name"), false);
            case "submit" -> submit(arguments);
            case "status" -> showStatus(arguments.getString("request"), arguments.getLong("wait"));
            case "cancel" -> cancel(arguments.getString("request"));
            case "explain" -> explain(arguments.getString("request"));
            case "targets" -> listTargets(arguments.getString("data_centre"));
            default -> throw new CtlException(ExitCode.USAGE, "unknown command; see 'acaciactl --help'");
        };
    }

    /**
     * Reads and validates a configuration file.
     *
     * @throws CtlException if the file cannot be read or the configuration is invalid
     */
    static Configuration readConfiguration(String file) throws CtlException {
        try {
            Configuration configuration = Settings.read(Path.of(file), Configuration.class);
            ConfigurationCheck.check(configuration);
            return configuration;
        } catch (SettingsException e) {
            throw new CtlException(ExitCode.USAGE, e.getMessage());
        } catch (ConfigurationException e) {
            throw new CtlException(ExitCode.USAGE, file + ": " + e.getMessage());
        }
    }

    private ExitCode publishConfiguration(String file, Long base) throws CtlException {
        Configuration configuration = readConfiguration(file);
        long baseRevision = base == null ? publisher.readDirectory().active().revision() : base;
        return publish(new LogRecord.Published(baseRevision, configuration, settings.operator()));
    }

    private ExitCode changeService(String dataCentre, boolean outOfService) throws CtlException {
        return publish(new LogRecord.ServiceChanged(dataCentre, outOfService, settings.operator()));
    }

    private ExitCode publish(LogRecord record) throws CtlException {
        long revision = publisher.publish(record);
        String state = publisher.awaitActivation(revision);
        out.print("revision " + revision + " " + state, new Published(revision, state));
        return ExitCode.OK;
    }

    private ExitCode showConfiguration() throws CtlException {
        ActiveConfiguration active = publisher.readDirectory().active();
        out.print(
                "revision " + active.revision() + ", out of service: " + active.out() + "\n" + toPrettyJson(active),
                active);
        return ExitCode.OK;
    }

    private static String toPrettyJson(Object value) throws CtlException {
        try {
            return Codecs.json().writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new CtlException(ExitCode.UNAVAILABLE, "cannot be printed: " + e.getOriginalMessage());
        }
    }

    private ExitCode listProfiles() throws CtlException {
        JsonNode configuration = gateways.getFromOperatorApi("/v1/configuration");
        JsonNode profiles = configuration.at("/configuration/profiles");
        out.printTable(
                profiles,
                profiles,
                "name",
                "shape.targets",
                "shape.accelerators-per-target",
                "shape.adjacency",
                "priority",
                "idempotent",
                "borrows",
                "treatments");
        return ExitCode.OK;
    }

    private ExitCode showProfile(String name) throws CtlException {
        Profile profile = publisher
                .readDirectory()
                .active()
                .configuration()
                .profile(name)
                .orElseThrow(() -> new CtlException(
                        ExitCode.NEGATIVE, "no profile '" + name + "'; 'acaciactl profile list' shows them"));
        out.print(toPrettyJson(profile), profile);
        return ExitCode.OK;
    }

    private ExitCode listDataCentres() throws CtlException {
        JsonNode dataCentres = gateways.getFromOperatorApi("/v1/data-centres");
        out.printTable(
                dataCentres, dataCentres.get("data-centres"), "name", "in-service", "leader", "epoch", "waiting");
        return ExitCode.OK;
    }

    private ExitCode submit(Namespace arguments) throws CtlException {
        String key = arguments.getString("key") == null ? UUID.randomUUID().toString() : arguments.getString("key");
        Submission submission = new Submission(
                arguments.getString("account"), arguments.getString("profile"), key, arguments.getString("payload"));
        long waitMillis = arguments.getLong("wait");
        return printStatus(gateways.callCallerApi("POST", "/v1/requests?wait=" + waitMillis, submission, waitMillis));
    }

    private ExitCode showStatus(String requestId, long waitMillis) throws CtlException {
        return printStatus(
                gateways.callCallerApi("GET", "/v1/requests/" + requestId + "?wait=" + waitMillis, null, waitMillis));
    }

    private ExitCode cancel(String requestId) throws CtlException {
        return printStatus(gateways.callCallerApi("DELETE", "/v1/requests/" + requestId, null, 0));
    }

    private ExitCode printStatus(JsonNode status) throws CtlException {
        JsonNode outcome = status.path("outcome");
        StringBuilder text = new StringBuilder(status.path("request").asText())
                .append(" key=")
                .append(status.path("key").asText())
                .append(" ")
                .append(status.path("state").asText());
        if (outcome.has("reason")) {
            text.append(": ").append(outcome.get("reason").asText());
        }
        for (JsonNode answer : outcome.path("answers")) {
            text.append("\n  member ")
                    .append(answer.get("member").asText())
                    .append(" on ")
                    .append(answer.get("target").asText())
                    .append(": ")
                    .append(answer.get("output").asText());
        }
        out.print(text.toString(), status);
        String state = status.path("state").asText();
        boolean pendingOrDone = outcome.isMissingNode() || outcome.isNull() || state.equals("done");
        return pendingOrDone ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private ExitCode explain(String requestId) throws CtlException {
        JsonNode explanation = gateways.callCallerApi("GET", "/v1/requests/" + requestId + "/explain", null, 0);
        StringBuilder text = new StringBuilder();
        for (JsonNode line : explanation.get("lines")) {
            text.append(line.asText()).append('\n');
        }
        out.print(
                text.isEmpty() ? "no decisions are remembered" : text.toString().stripTrailing(), explanation);
        return ExitCode.OK;
    }

    private ExitCode listTargets(String dataCentre) throws CtlException {
        JsonNode targets = gateways.getFromOperatorApi("/v1/targets/" + dataCentre);
        out.printTable(
                targets, targets.get("lines"), "target", "rack", "state", "accelerators", "used", "claimed", "tasks");
        return ExitCode.OK;
    }
}
