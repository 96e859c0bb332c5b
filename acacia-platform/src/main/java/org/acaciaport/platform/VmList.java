package org.acaciaport.platform;

import java.util.Set;

/** The platform's lagging list of VMs. Implementations are safe for use by several threads. */
public interface VmList {
    /**
     * Returns the identifiers of the VMs that are leaving.
     *
     * @throws PlatformException if the list cannot be read
     */
    Set<String> leaving() throws PlatformException;
}
