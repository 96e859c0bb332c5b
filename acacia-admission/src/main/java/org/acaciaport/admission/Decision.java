package org.acaciaport.admission;

/** The decision about a request. All implementations are immutable. */
public sealed interface Decision {
    /**
     * The request is accepted, as it is expected to start while it is of use, or that cannot be ruled out.
     *
     * @param expectedStartMillis when it is expected to start, in milliseconds since the Unix epoch
     */
    record Admit(long expectedStartMillis) implements Decision {}

    /**
     * The request is accepted although the node does not know how long it would wait.
     *
     * @param reason why the node does not know
     */
    record AdmitUnknown(String reason) implements Decision {}

    /**
     * The request is refused, as it is expected to start when it is of no use any more.
     *
     * @param reason what was weighed, for callers
     * @param expectedStartMillis when it would be expected to start, in milliseconds since the Unix epoch
     * @param latestStartMillis when it would have to start to be of use, in milliseconds since the Unix epoch
     * @param retryAtMillis when the caller should return, in milliseconds since the Unix epoch
     */
    record Reject(String reason, long expectedStartMillis, long latestStartMillis, long retryAtMillis)
            implements Decision {}
}
