package org.acaciaport.gateway;

import java.util.List;
import org.acaciaport.program.LogSettings;
import org.acaciaport.program.Settings;
import org.acaciaport.program.SettingsCheck;

/**
 * Settings of the gateway.
 *
 * <p>Immutable.
 *
 * @param vm who and where this process is
 * @param listen addresses it listens on
 * @param schedulers all schedulers that it may ask
 * @param drain how it stops
 * @param log how it writes its log
 */
public record GatewaySettings(Vm vm, Listen listen, List<Scheduler> schedulers, Drain drain, LogSettings log)
        implements Settings.Checked {
    /** Copies the list. */
    public GatewaySettings {
        schedulers = List.copyOf(schedulers);
    }

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
     * @param callers for callers
     * @param operators for health, metrics and views
     */
    public record Listen(String callers, String operators) {}

    /**
     * A scheduler.
     *
     * @param dataCentre name of its data centre
     * @param address where it listens for programs, as IP:PORT
     */
    public record Scheduler(String dataCentre, String address) {}

    /**
     * How it stops.
     *
     * @param noticeMillis how long it still accepts requests after it reports to be unhealthy, in milliseconds
     * @param limitMillis how long requests in work may then take, in milliseconds
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
