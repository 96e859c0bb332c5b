package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import org.acaciaport.admission.Outlook;

/**
 * An outlook as the leader writes it to the log, without names of fields where they would repeat.
 *
 * <p>Immutable.
 *
 * @param services the services of the outlook
 */
record OutlookRecord(List<Service> services) {
    /** Creates a record with an immutable copy of {@code services}. */
    OutlookRecord {
        services = List.copyOf(services);
    }

    /**
     * The outlook of one service.
     *
     * @param name name of the service
     * @param beside processor time and memory beside each accelerator, in thousandths of a core and megabytes
     * @param waits for each priority, the priority and the waits of its levels, in milliseconds
     */
    record Service(String name, List<Long> beside, List<List<Integer>> waits) {}

    /** Returns the record of {@code outlook}. */
    static OutlookRecord of(Outlook outlook) {
        List<Service> services = new ArrayList<>();
        for (Outlook.Service service : outlook.services()) {
            List<List<Integer>> waits = new ArrayList<>();
            for (Outlook.Wait wait : service.waits()) {
                List<Integer> row = new ArrayList<>(wait.millis());
                row.addFirst(wait.priority());
                waits.add(row);
            }
            services.add(new Service(service.name(), List.of(service.cpuMillis(), service.memoryMb()), waits));
        }
        return new OutlookRecord(services);
    }

    /**
     * Returns the outlook.
     *
     * @throws IllegalArgumentException if it is not complete, or a value is out of range
     */
    Outlook toOutlook() {
        List<Outlook.Service> decoded = new ArrayList<>();
        for (Service service : services) {
            if (service.name() == null || service.beside() == null || service.waits() == null) {
                throw new IllegalArgumentException("a service is not complete");
            }
            if (service.beside().size() != 2 || service.beside().contains(null)) {
                throw new IllegalArgumentException("no amounts beside an accelerator: " + service.beside());
            }
            List<Outlook.Wait> waits = new ArrayList<>();
            for (List<Integer> row : service.waits()) {
                if (row == null || row.isEmpty() || row.contains(null)) {
                    throw new IllegalArgumentException("a row of waits is not complete");
                }
                waits.add(new Outlook.Wait(row.getFirst(), row.subList(1, row.size())));
            }
            decoded.add(new Outlook.Service(
                    service.name(), service.beside().get(0), service.beside().get(1), waits));
        }
        return new Outlook(decoded);
    }
}
