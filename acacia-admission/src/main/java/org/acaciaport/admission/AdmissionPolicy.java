package org.acaciaport.admission;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides whether a request is accepted.
 *
 * <p>Immutable. To refuse a request that would have been served in time is worse than to accept one that is late, so a
 * request is refused only if it is expected to start later than is of use by more than a part of the expected wait, and
 * never on an unknown or empty outlook.
 *
 * @param settings the settings
 */
public record AdmissionPolicy(Settings settings) {
    /** Requires settings. */
    public AdmissionPolicy {
        Objects.requireNonNull(settings, "settings");
    }

    /**
     * The settings of the policy.
     *
     * @param maxAgeMillis age of the outlook from which it is not used, in milliseconds
     * @param toleratedErrorFraction part of the expected wait by which the expected start may be later than is of use
     */
    public record Settings(long maxAgeMillis, double toleratedErrorFraction) {
        /** The settings in use; six heartbeats of the leader, and an expected wait that is right within half of it. */
        public static final Settings DEFAULT = new Settings(1_500, 0.5);
    }

    /**
     * Equal tasks that start together.
     *
     * @param count number of tasks
     * @param cpuMillis processor time of a task, in thousandths of a core
     * @param memoryMb memory of a task, in megabytes
     * @param accelerators accelerators of a task
     */
    public record Tasks(int count, long cpuMillis, long memoryMb, long accelerators) {}

    /**
     * A request.
     *
     * @param id its id, the same in each attempt
     * @param service the service whose targets run it
     * @param priority its priority; 0 is the highest
     * @param tasks the tasks that start first
     * @param nowMillis time of this attempt, in milliseconds since the Unix epoch
     * @param latestStartMillis latest start at which it is of use, in milliseconds since the Unix epoch
     */
    public record Request(
            String id, String service, int priority, List<Tasks> tasks, long nowMillis, long latestStartMillis) {
        /** Creates a request with an immutable copy of {@code tasks}. */
        public Request {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(service, "service");
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * What a node knows.
     *
     * @param outlook the latest outlook of the leader; empty if there is none
     * @param ageMillis its age, in milliseconds
     * @param unknownReason why it cannot be used, whatever its age; empty if it can
     */
    public record Knowledge(Optional<Outlook> outlook, long ageMillis, String unknownReason) {
        /** Requires a reason, which may be empty. */
        public Knowledge {
            Objects.requireNonNull(outlook, "outlook");
            Objects.requireNonNull(unknownReason, "unknownReason");
        }

        /** Returns the knowledge of a node that knows no outlook. */
        public static Knowledge unknown(String reason) {
            return new Knowledge(Optional.empty(), 0, reason);
        }
    }

    /** Returns the decision about {@code request}. */
    public Decision decide(Request request, Knowledge knowledge) {
        if (!knowledge.unknownReason().isEmpty()) {
            return new Decision.AdmitUnknown(knowledge.unknownReason());
        }
        if (knowledge.outlook().isEmpty()) {
            return new Decision.AdmitUnknown("no outlook");
        }
        if (knowledge.ageMillis() < 0 || knowledge.ageMillis() > settings.maxAgeMillis()) {
            return new Decision.AdmitUnknown("outlook too old");
        }
        long waitMillis = expectedWaitMillis(request, knowledge.outlook().get());
        long startMillis = request.nowMillis() + waitMillis;
        double lateMillis = (double) startMillis - request.latestStartMillis();
        if (waitMillis == 0 || lateMillis <= settings.toleratedErrorFraction() * waitMillis) {
            return new Decision.Admit(startMillis);
        }
        long retryAtMillis = RetryTimes.returnMillis(request, waitMillis, settings.toleratedErrorFraction());
        return new Decision.Reject(
                "would start when it is of no use", startMillis, request.latestStartMillis(), retryAtMillis);
    }

    /** Returns how long the request is expected to wait, in milliseconds. */
    public static long expectedWaitMillis(Request request, Outlook outlook) {
        Outlook.Service service = outlook.find(request.service()).orElse(null);
        if (service == null) {
            return 0;
        }
        double accelerators = 0;
        for (Tasks tasks : request.tasks()) {
            accelerators += service.acceleratorsFor(tasks);
        }
        return service.waitMillis(request.priority(), accelerators);
    }
}
