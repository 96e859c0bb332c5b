package org.acaciaport.node;

import java.util.Optional;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.TargetInfo;

/** Decodes the registrations of targets. Implementations are thread-safe. */
public interface TargetRecordDecoder {
    /** Returns the id of the target that a record refers to, or empty if it refers to none. */
    Optional<String> targetId(KeyedRecord record);

    /** Decodes a registration; empty if it is malformed. */
    Optional<TargetInfo> decodeTarget(KeyedRecord record);
}
