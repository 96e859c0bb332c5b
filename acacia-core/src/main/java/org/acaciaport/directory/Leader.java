package org.acaciaport.directory;

/**
 * The leader of a data centre, as recorded on the log.
 *
 * <p>Immutable.
 *
 * @param epoch number of its term; each new leader of the data centre gets the next one
 * @param holder unique name of the scheduler process that leads
 * @param address address at which other processes reach it, as IP:PORT
 * @param offset log offset of the newest record that started or renewed its term
 * @param resigned whether it has given up leadership
 */
public record Leader(long epoch, String holder, String address, long offset, boolean resigned) {}
