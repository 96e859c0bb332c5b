package org.acaciaport.program;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.acaciaport.address.SocketAddresses;

/**
 * Validates the values of settings and collects the problems found.
 *
 * <p>Not thread-safe.
 */
public final class SettingsCheck {
    private final List<String> problems = new ArrayList<>();

    /** Requires {@code min <= value <= max}. */
    public void between(String key, long value, long min, long max) {
        if (value < min || value > max) {
            problems.add("key '" + key + "' = " + value + " is out of range; use " + min + " to " + max);
        }
    }

    /** Requires a name of at most 63 lower-case letters, digits, dots and dashes; it starts with a letter or digit. */
    public void name(String key, String value) {
        matches(key, value, "[a-z0-9][a-z0-9.-]{0,62}", "lower-case letters, digits, '.' and '-', at most 63");
    }

    /** Requires {@code value} to match {@code pattern}; {@code remedy} describes the allowed values. */
    public void matches(String key, String value, String pattern, String remedy) {
        if (!value.matches(pattern)) {
            problems.add("key '" + key + "' = \"" + value + "\" is not allowed; use " + remedy);
        }
    }

    /** Requires an address of the form IP:PORT, with an IPv4 address. */
    public void address(String key, String value) {
        if (parseAddress(value) == null) {
            problems.add("key '" + key + "' = \"" + value + "\" is not IP:PORT; use an IP address and a port");
        }
    }

    /** Requires a URI of the form http://IP:PORT, with a numeric address and optionally a path. */
    public void uri(String key, String value) {
        matches(key, value, "http://[0-9.]+:[0-9]+(/.*)?", "http://IP:PORT with an IP address");
    }

    /** Returns the problems found so far. */
    public List<String> problems() {
        return List.copyOf(problems);
    }

    /** Returns the socket address given by {@code text} as IP:PORT, or null if it is invalid. */
    public static InetSocketAddress parseAddress(String text) {
        return SocketAddresses.parseLocal(text).orElse(null);
    }
}
