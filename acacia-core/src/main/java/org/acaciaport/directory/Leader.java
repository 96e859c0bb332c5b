package org.acaciaport.directory;

/**
 * Who leads a data centre, as the log says.
 *
 * <p>Immutable.
 *
 * @param epoch number of the leadership
 * @param holder unique name of the scheduler process
 * @param address where other processes reach it, as IP:PORT
 * @param offset log offset of its newest record
 * @param resigned whether it gave the leadership up
 */
public record Leader(long epoch, String holder, String address, long offset, boolean resigned) {}
