package org.acaciaport.estimate;

import static java.util.Objects.requireNonNull;

/**
 * What is known of a task before it runs.
 *
 * @param queue queue of its job
 * @param account client account of its job
 * @param declaredSeconds declared duration at nominal speed, in seconds; 0 if unknown
 */
public record Work(String queue, String account, double declaredSeconds) {
    /** Checks the names and takes a declared duration that is not a positive number as unknown. */
    public Work {
        requireNonNull(queue);
        requireNonNull(account);
        declaredSeconds = declaredSeconds > 0 && Double.isFinite(declaredSeconds) ? declaredSeconds : 0;
    }
}
