package org.acaciaport.decision;

/**
 * One decision in words, for the log and for {@code explain}.
 *
 * <p>Immutable.
 *
 * @param part prefix that names the part that decided
 * @param request identifier of the request; empty if the decision is about none
 * @param text short fields that say what was decided, why, and what was rejected
 */
public record Note(String part, String request, String text) {
    @Override
    public String toString() {
        return request.isEmpty() ? part + ": " + text : part + ": request=" + request + " " + text;
    }
}
