package org.acaciaport.config;

/**
 * A back end that runs tasks.
 *
 * <p>Immutable.
 *
 * @param id unique name
 * @param dataCentre name of its data centre
 * @param rack name of its rack, unique over all data centres
 * @param address base URI of its task interface, with an IP number
 * @param processors number of processors
 * @param memoryMb memory in mebibytes
 * @param accelerators number of accelerators
 * @param slots most tasks at once
 * @param connections most open connections to it from one process
 */
public record Target(
        String id,
        String dataCentre,
        String rack,
        String address,
        int processors,
        int memoryMb,
        int accelerators,
        int slots,
        int connections) {}
