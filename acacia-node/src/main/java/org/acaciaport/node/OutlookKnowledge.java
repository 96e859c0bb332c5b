package org.acaciaport.node;

import java.util.Optional;
import org.acaciaport.admission.AdmissionPolicy;
import org.acaciaport.pool.ClockReading;

/** What a node knows of the wait from the outlook of a leader. Thread-safe. */
final class OutlookKnowledge {
    private OutlookKnowledge() {}

    /**
     * Returns the knowledge. Its age counts from before the outlook was written, or from the latest sign of the leader
     * if there was no wait, and is at least that of the replica.
     *
     * @param leader the latest leader; null if there is none
     * @param received the latest outlook of that leader; null if there is none
     * @param asOf when the replica was last complete; null if it has not been
     */
    static AdmissionPolicy.Knowledge of(
            Replica.Leader leader, ReplicaContents.ReceivedOutlook received, ClockReading asOf) {
        if (asOf == null) {
            return AdmissionPolicy.Knowledge.unknown("log not read yet");
        }
        if (leader == null || leader.record().resigned()) {
            return AdmissionPolicy.Knowledge.unknown(leader == null ? "no leader" : "leader resigned");
        }
        if (received == null) {
            return AdmissionPolicy.Knowledge.unknown("no outlook of this leader");
        }
        long replicaAgeMillis = Clocks.ageMillis(asOf);
        long outlookAgeMillis = received.outlook().isEmpty()
                ? (System.nanoTime() - leader.receivedNanos()) / Clocks.NANOS_PER_MILLI
                : Clocks.ageMillis(received.notBefore());
        return new AdmissionPolicy.Knowledge(
                Optional.of(received.outlook()), Math.max(replicaAgeMillis, outlookAgeMillis), "");
    }
}
