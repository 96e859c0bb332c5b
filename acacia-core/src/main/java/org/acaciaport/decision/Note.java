package org.acaciaport.decision;

/**
 * An explanation of one decision, for the log and for {@code acaciactl explain}.
 *
 * <p>Immutable.
 *
 * @param part name of the component that decided; the prefix of the log line
 * @param request identifier of the request; empty if the decision is not about a single request
 * @param text key-value fields that say what was decided, why, and which alternatives were rejected
 */
public record Note(String part, String request, String text) {
    @Override
    public String toString() {
        return request.isEmpty() ? part + ": " + text : part + ": request=" + request + " " + text;
    }
}
