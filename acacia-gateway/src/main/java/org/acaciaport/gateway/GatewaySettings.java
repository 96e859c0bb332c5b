package org.acaciaport.gateway;

import java.util.List;
import org.acaciaport.program.LogSettings;
import org.acaciaport.program.Settings;
import org.acaciaport.program.SettingsCheck;

/**
 * The settings of the gateway.
 *
 * <p>Immutable.
 *
 * @param vm identity and location of this process
 * @param listen addresses that the gateway listens on
 * @param schedulers all schedulers that the gateway may send queries to
 * @param drain timing of the shutdown
 * @param log format and level of the process log
 */
public record GatewaySettings(Vm vm, Listen listen, List<Scheduler> schedulers, Drain drain, LogSettings log)
        implements Settings.Checkable {
    /** Creates settings with an immutable copy of the schedulers. */
    public GatewaySettings {
        schedulers = List.copyOf(schedulers);
    }

    /**
     * The identity and location of this process.
     *
     * @param name unique name of the VM
     * @param dataCentre name of the VM's data centre
     */
    public record Vm(String name, String dataCentre) {}

    /**
     * The addresses that the gateway listens on, as IP:PORT.
     *
     * @param callers address of the HTTP interface for callers
     * @param operators address of the HTTP interface for operators: health, metrics and views
     */
    public record Listen(String callers, String operators) {}

    /**
     * One scheduler.
     *
     * @param dataCentre name of the scheduler's data centre
     * @param address address that the scheduler listens on for other programs, as IP:PORT
     */
    public record Scheduler(String dataCentre, String address) {}

    /**
     * The timing of the shutdown.
     *
     * @param noticeMillis how long the gateway still accepts requests after it reports that it is not ready, so that a
     *     load balancer can remove it, in milliseconds
     * @param limitMillis how long the gateway then waits for requests in progress, in milliseconds
     */
    public record Drain(long noticeMillis, long limitMillis) {}

    @Override
    public void check(SettingsCheck check) {
        check.name("vm.name", vm.name());
        check.name("vm.data-centre", vm.dataCentre());
        check.address("listen.callers", listen.callers());
        check.address("listen.operators", listen.operators());
        check.between("schedulers (count)", schedulers.size(), 1, 1_000);
        for (Scheduler scheduler : schedulers) {
            check.name("schedulers.data-centre", scheduler.dataCentre());
            check.address("schedulers.address", scheduler.address());
        }
        check.between("drain.notice-millis", drain.noticeMillis(), 0, 600_000);
        check.between("drain.limit-millis", drain.limitMillis(), 0, 600_000);
        log.check(check);
    }
}
