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
 * Carries out the commands.
 *
 * <p>Not thread-safe.
 */
final class Commands {
    private final CtlSettings settings;
    private final Gateways gateways;
    private final Publisher publisher;
    private final Output out;

    Commands(CtlSettings settings, Gateways gateways, Publisher publisher, Output out) {
        this.settings = settings;
        this.gateways = gateways;
        this.publisher = publisher;
        this.out = out;
    }

    /**
     * Body of a submission.
     *
     * @param account client account
     * @param profile profile
     * @param key idempotency key
     * @param payload opaque input
     */
    private record Submission(String account, String profile, String key, String payload) {}

    /** What a publication answers. */
    private record Published(long revision, String state) {}

    ExitCode run(Namespace parsed) throws CtlException {
        return switch (parsed.getString("command")) {
            case "config publish" -> publishConfiguration(parsed.getString("file"), parsed.getLong("base"));
            case "config show" -> showConfiguration();
            case "profile list" -> listProfiles();
            case "profile show" -> showProfile(parsed.getString("name"));
            case "dc list" -> listDataCentres();
            case "dc out" -> changeService(parsed.getString("name"), true);
            case "dc in" -> changeService(parsed.getString("name"), false);
            case "submit" -> submit(parsed);
            case "status" -> status(parsed.getString("request"), parsed.getLong("wait"));
            case "cancel" -> cancel(parsed.getString("request"));
            case "explain" -> explain(parsed.getString("request"));
            case "targets" -> targets(parsed.getString("data_centre"));
            default -> throw new CtlException(ExitCode.USAGE, "unknown command; see 'acaciactl --help'");
        };
    }

    /** Reads and checks a configuration file. */
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
        long replaced = base == null ? publisher.read().active().revision() : base;
        return publish(new LogRecord.Published(replaced, configuration, settings.operator()));
    }

    private ExitCode changeService(String dataCentre, boolean outOfService) throws CtlException {
        return publish(new LogRecord.ServiceChanged(dataCentre, outOfService, settings.operator()));
    }

    private ExitCode publish(LogRecord record) throws CtlException {
        long revision = publisher.publish(record);
        String state = publisher.awaitInForce(revision);
        out.line("revision " + revision + " " + state, new Published(revision, state));
        return ExitCode.OK;
    }

    private ExitCode showConfiguration() throws CtlException {
        ActiveConfiguration active = publisher.read().active();
        out.line("revision " + active.revision() + ", out of service: " + active.out() + "\n" + pretty(active), active);
        return ExitCode.OK;
    }

    private static String pretty(Object value) throws CtlException {
        try {
            return Codecs.json().writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new CtlException(ExitCode.UNAVAILABLE, "cannot be printed: " + e.getOriginalMessage());
        }
    }

    private ExitCode listProfiles() throws CtlException {
        JsonNode active = gateways.operators("/v1/configuration");
        JsonNode profiles = active.at("/configuration/profiles");
        out.table(
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
                .read()
                .active()
                .configuration()
                .profile(name)
                .orElseThrow(() -> new CtlException(
                        ExitCode.NEGATIVE, "no profile '" + name + "'; 'acaciactl profile list' shows them"));
        out.line(pretty(profile), profile);
        return ExitCode.OK;
    }

    private ExitCode listDataCentres() throws CtlException {
        JsonNode view = gateways.operators("/v1/data-centres");
        out.table(view, view.get("data-centres"), "name", "in-service", "leader", "epoch", "waiting");
        return ExitCode.OK;
    }

    private ExitCode submit(Namespace parsed) throws CtlException {
        String key = parsed.getString("key") == null ? UUID.randomUUID().toString() : parsed.getString("key");
        Submission submission = new Submission(
                parsed.getString("account"), parsed.getString("profile"), key, parsed.getString("payload"));
        long wait = parsed.getLong("wait");
        return show(gateways.callers("POST", "/v1/requests?wait=" + wait, submission, wait));
    }

    private ExitCode status(String request, long wait) throws CtlException {
        return show(gateways.callers("GET", "/v1/requests/" + request + "?wait=" + wait, null, wait));
    }

    private ExitCode cancel(String request) throws CtlException {
        return show(gateways.callers("DELETE", "/v1/requests/" + request, null, 0));
    }

    private ExitCode show(JsonNode status) throws CtlException {
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
        out.line(text.toString(), status);
        String state = status.path("state").asText();
        boolean good = outcome.isMissingNode() || outcome.isNull() || state.equals("done");
        return good ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private ExitCode explain(String request) throws CtlException {
        JsonNode explanation = gateways.callers("GET", "/v1/requests/" + request + "/explain", null, 0);
        StringBuilder text = new StringBuilder();
        for (JsonNode line : explanation.get("lines")) {
            text.append(line.asText()).append('\n');
        }
        out.line(
                text.isEmpty() ? "no decisions are remembered" : text.toString().stripTrailing(), explanation);
        return ExitCode.OK;
    }

    private ExitCode targets(String dataCentre) throws CtlException {
        JsonNode targets = gateways.operators("/v1/targets/" + dataCentre);
        out.table(targets, targets.get("lines"), "target", "rack", "state", "accelerators", "used", "claimed", "tasks");
        return ExitCode.OK;
    }
}
