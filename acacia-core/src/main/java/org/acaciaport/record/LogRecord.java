package org.acaciaport.record;

import java.util.List;
import org.acaciaport.config.Configuration;
import org.acaciaport.decision.Member;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * One fact on the platform's log. What a record means depends on the records at lower offsets; {@link
 * org.acaciaport.directory.Directory} applies them in order. All variants are immutable.
 */
public sealed interface LogRecord {
    /**
     * An operator publishes a configuration.
     *
     * @param base revision that it replaces; the record is void if another one came first
     * @param configuration the whole new configuration
     * @param operator who published it
     */
    record Published(long base, Configuration configuration, String operator) implements LogRecord {}

    /**
     * An operator takes a data centre out of service, or brings it back.
     *
     * @param dataCentre name of the data centre
     * @param out whether it is out from here on
     * @param operator who decided
     */
    record ServiceChanged(String dataCentre, boolean out, String operator) implements LogRecord {}

    /**
     * A scheduler begins or goes on to lead a data centre.
     *
     * @param dataCentre name of the data centre
     * @param epoch one higher than the last to begin, the same to go on
     * @param holder unique name of the scheduler process
     * @param address where other processes reach it, as IP:PORT
     */
    record Led(String dataCentre, long epoch, String holder, String address) implements LogRecord {}

    /**
     * A scheduler stops leading, so that another one need not wait for its lease to end.
     *
     * @param dataCentre name of the data centre
     * @param epoch the epoch that ends
     */
    record Resigned(String dataCentre, long epoch) implements LogRecord {}

    /**
     * A request is taken in. Void if its account used the key before.
     *
     * @param dataCentre data centre that answers for it
     * @param request the request
     * @param payloadHash hash of profile and payload, to compare uses of one key
     */
    record Accepted(String dataCentre, Request request, String payloadHash) implements LogRecord {}

    /**
     * An attempt is about to start. Void if the request has another attempt that was not voided, is finished, or
     * belongs to another data centre, or if the epoch is over.
     *
     * @param dataCentre data centre of the attempt
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param epoch epoch of the scheduler that decided
     * @param members places of all members
     */
    record Intended(String dataCentre, String request, long attempt, long epoch, List<Member> members)
            implements LogRecord {
        /** Copies the list. */
        public Intended {
            members = List.copyOf(members);
        }
    }

    /**
     * An intended attempt is over and another may follow.
     *
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param checkpointed whether it ran and its state was saved; else it was never started
     */
    record Voided(String request, long attempt, boolean checkpointed) implements LogRecord {}

    /**
     * A request has its final answer. Void if it had one before.
     *
     * @param request identifier of the request
     * @param outcome the answer
     */
    record Finished(String request, Outcome outcome) implements LogRecord {}

    /**
     * A waiting request passes to another data centre. Void if an attempt is intended or it is finished.
     *
     * @param request identifier of the request
     * @param from data centre that gives it up
     * @param to data centre that answers for it from here on
     */
    record HandedOver(String request, String from, String to) implements LogRecord {}
}
