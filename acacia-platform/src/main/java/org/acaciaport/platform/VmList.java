package org.acaciaport.platform;

import java.util.Set;

/** A client of the platform's list of VMs, which may be stale. Implementations are thread-safe. */
public interface VmList {
    /**
     * Returns the identifiers of the VMs that are about to be removed.
     *
     * @throws PlatformException if the list cannot be read
     */
    Set<String> leaving() throws PlatformException;
}
