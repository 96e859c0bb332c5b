package org.acaciaport.http;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.acaciaport.wire.Codecs;

/**
 * An HTTP request to a {@link HttpService}.
 *
 * <p>Immutable, provided that callers do not modify {@code body}, which is not copied.
 *
 * @param method the HTTP method
 * @param path the decoded, non-empty segments of the path
 * @param query the first value of each query parameter
 * @param body the complete body
 */
public record HttpCall(String method, List<String> path, Map<String, String> query, byte[] body) {
    /**
     * Returns whether the method is {@code expectedMethod} and the path has {@code length} segments and starts with
     * {@code prefix}.
     */
    public boolean matches(String expectedMethod, int length, String... prefix) {
        return method.equals(expectedMethod)
                && path.size() == length
                && path.subList(0, prefix.length).equals(List.of(prefix));
    }

    /**
     * Parses the body as JSON.
     *
     * @throws HttpProblem if the body is not JSON that can be converted to {@code type}
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
     * Returns the value of the query parameter {@code name}, or {@code defaultValue} if it is missing.
     *
     * @throws HttpProblem if the value is not a whole number from 0 to {@code max}
     */
    public long longParameter(String name, long defaultValue, long max) throws HttpProblem {
        String text = query.get(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= 0 && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Falls through to the exception for a number out of range.
        }
        throw HttpProblem.invalid(
                "query parameter " + name + " = '" + text + "'", "use a whole number from 0 to " + max);
    }
}
