package org.acaciaport.config;

/**
 * A back-end server that runs tasks.
 *
 * <p>Immutable.
 *
 * @param id unique name
 * @param dataCentre name of its data centre
 * @param rack name of its rack, unique across all data centres
 * @param address base URI of its task interface; the host is an IP address
 * @param processors number of processors
 * @param memoryMb memory in mebibytes
 * @param accelerators number of accelerators
 * @param slots maximum number of tasks at a time
 * @param connections maximum number of open connections to it from one process
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
