package org.acaciaport.node;

import org.acaciaport.log.KeyedRecord;

/** Decodes the records that operators publish. Implementations are thread-safe. */
public interface OperatorRecordDecoder {
    /** Decodes one record. */
    Entry decodePublished(KeyedRecord record);

    /** The content of a record. */
    sealed interface Entry {}

    /** A version of the configuration. */
    record Published(OperatorConfiguration configuration) implements Entry {}

    /**
     * The start or end of the evacuation of a data centre, during which it gets no new work.
     *
     * @param dataCentre name of the data centre
     * @param requested true to start the evacuation, false to end it
     */
    record Evacuation(String dataCentre, boolean requested) implements Entry {}

    /** A record that this node does not use. */
    record Ignored(String reason) implements Entry {}
}
