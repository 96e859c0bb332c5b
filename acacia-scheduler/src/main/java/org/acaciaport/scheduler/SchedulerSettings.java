package org.acaciaport.scheduler;

import org.acaciaport.program.LogSettings;
import org.acaciaport.program.Settings;
import org.acaciaport.program.SettingsCheck;

/**
 * Settings of the scheduler.
 *
 * <p>Immutable.
 *
 * @param vm who and where this process is
 * @param listen addresses it listens on
 * @param platform where the platform is
 * @param leases how long its claims last
 * @param log how it writes its log
 */
public record SchedulerSettings(Vm vm, Listen listen, Platform platform, Leases leases, LogSettings log)
        implements Settings.Checked {
    /**
     * Who and where this process is.
     *
     * @param name unique name of the VM
     * @param dataCentre name of its data centre
     */
    public record Vm(String name, String dataCentre) {}

    /**
     * Addresses, as IP:PORT.
     *
     * @param programs for gateways and other schedulers
     * @param operators for health and metrics
     */
    public record Listen(String programs, String operators) {}

    /**
     * Where the platform is.
     *
     * @param address base URI of the log and the VM list
     */
    public record Platform(String address) {}

    /**
     * How long claims last, in milliseconds.
     *
     * @param leaderMillis a leadership without renewal
     * @param permitMillis a start after the log was last read to its end
     * @param targetMillis work on a target without a poll
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
