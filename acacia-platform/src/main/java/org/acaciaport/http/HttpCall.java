package org.acaciaport.http;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.acaciaport.wire.Codecs;

/**
 * One HTTP request to a {@link HttpService}.
 *
 * <p>Immutable; the body is not copied.
 *
 * @param method the HTTP method
 * @param path segments of the path, decoded
 * @param query the first value of each query parameter
 * @param body the whole body
 */
public record HttpCall(String method, List<String> path, Map<String, String> query, byte[] body) {
    /** Returns whether this is {@code method} on a path of {@code length} segments that begins with {@code prefix}. */
    public boolean matches(String wanted, int length, String... prefix) {
        return method.equals(wanted)
                && path.size() == length
                && path.subList(0, prefix.length).equals(List.of(prefix));
    }

    /**
     * Reads the body as JSON.
     *
     * @throws HttpProblem if it is not a JSON object of that shape
     */
    public <T> T read(Class<T> type) throws HttpProblem {
        try {
            T value = Codecs.json().readValue(body, type);
            if (value == null) {
                throw HttpProblem.invalid("the body is null", "send a JSON object");
            }
            return value;
        } catch (IOException e) {
            throw HttpProblem.invalid(JsonErrors.describe(e), "correct the body and send it again");
        }
    }

    /**
     * Returns the query parameter {@code name} as a number.
     *
     * @throws HttpProblem if it is not a number from 0 to {@code most}
     */
    public long longParameter(String name, long absent, long most) throws HttpProblem {
        String text = query.get(name);
        if (text == null) {
            return absent;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= 0 && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below like a number out of range.
        }
        throw HttpProblem.invalid(
                "query parameter " + name + " = '" + text + "'", "use a whole number from 0 to " + most);
    }
}
