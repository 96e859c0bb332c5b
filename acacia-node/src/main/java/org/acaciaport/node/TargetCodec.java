package org.acaciaport.node;

import java.util.Optional;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.TargetInfo;

/** Decodes registrations of targets. Safe for use by several threads. */
public interface TargetCodec {
    /** Returns the id of the target that a record is about, or empty if it is about something else. */
    Optional<String> targetId(KeyedRecord record);

    /** Decodes a registration; empty if it names no usable target. */
    Optional<TargetInfo> decodeTarget(KeyedRecord record);
}
