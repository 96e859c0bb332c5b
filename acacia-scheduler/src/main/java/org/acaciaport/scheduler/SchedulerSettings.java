package org.acaciaport.scheduler;

import org.acaciaport.program.LogSettings;
import org.acaciaport.program.Settings;
import org.acaciaport.program.SettingsCheck;

/**
 * Settings of the scheduler.
 *
 * <p>Immutable.
 *
 * @param vm identity and location of this process
 * @param listen addresses to listen on
 * @param platform how to reach the platform
 * @param leases lease durations
 * @param log format and level of the program's own log output
 */
public record SchedulerSettings(Vm vm, Listen listen, Platform platform, Leases leases, LogSettings log)
        implements Settings.Checkable {
    /**
     * Identity and location of this process.
     *
     * @param name unique name of the VM
     * @param dataCentre name of the data centre that the VM is in
     */
    public record Vm(String name, String dataCentre) {}

    /**
     * Addresses to listen on, as IP:PORT.
     *
     * @param programs address for gateways and other schedulers
     * @param operators address for health checks and metrics
     */
    public record Listen(String programs, String operators) {}

    /**
     * How to reach the platform.
     *
     * @param address base URI of the log and the VM list
     */
    public record Platform(String address) {}

    /**
     * Lease durations, in milliseconds.
     *
     * @param leaderMillis how long a leadership lasts without a renewal
     * @param permitMillis how long targets may start work after the log was last read to its end
     * @param targetMillis how long a target keeps running work without being polled
     */
    public record Leases(long leaderMillis, long permitMillis, long targetMillis) {}

    @Override
    public void check(SettingsCheck check) {
        check.name("vm.name", vm.name());
        check.name("vm.data-centre", vm.dataCentre());
        check.address("listen.programs", listen.programs());
        check.address("listen.operators", listen.operators());
        check.uri("platform.address", platform.address());
        check.between("leases.leader-millis", leases.leaderMillis(), 500, 60_000);
        check.between("leases.permit-millis", leases.permitMillis(), 500, 30_000);
        check.between("leases.target-millis", leases.targetMillis(), 1_000, 120_000);
        log.check(check);
    }
}
