package org.acaciaport.node;

import org.acaciaport.log.KeyedRecord;

/** Decodes what operators publish. Safe for use by several threads. */
public interface OperatorCodec {
    /** Decodes one record. */
    Entry decodePublished(KeyedRecord record);

    /** What a record says. */
    sealed interface Entry {}

    /** A publication in full. */
    record Published(OperatorConfiguration configuration) implements Entry {}

    /**
     * A data centre is to take no new work, or may again.
     *
     * @param dataCentre its name
     * @param requested whether it is to take none
     */
    record Evacuation(String dataCentre, boolean requested) implements Entry {}

    /** Nothing that this program uses. */
    record Ignored(String reason) implements Entry {}
}
