package org.acaciaport.record;

import java.util.List;
import org.acaciaport.config.Configuration;
import org.acaciaport.decision.Member;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * A record on the platform's log. Whether it takes effect depends on the records at lower offsets; a record that takes
 * no effect is void. {@link org.acaciaport.directory.Directory} applies the records in order. All variants are
 * immutable.
 */
public sealed interface LogRecord {
    /**
     * An operator publishes a configuration. Void if it is invalid or if {@code base} is not the revision in force.
     *
     * @param base the revision that it replaces
     * @param configuration the complete new configuration
     * @param operator name of the operator
     */
    record Published(long base, Configuration configuration, String operator) implements LogRecord {}

    /**
     * An operator takes a data centre out of service, or returns it to service. Void if that changes nothing.
     *
     * @param dataCentre name of the data centre
     * @param out whether the data centre is out of service from now on
     * @param operator name of the operator
     */
    record ServiceChanged(String dataCentre, boolean out, String operator) implements LogRecord {}

    /**
     * A scheduler starts to lead a data centre, or renews its lease. Void unless the epoch is the next one or this
     * scheduler still holds it.
     *
     * @param dataCentre name of the data centre
     * @param epoch one higher than the last epoch to start a term; the current epoch to renew the lease
     * @param holder unique name of the scheduler process
     * @param address address at which other processes reach it, as IP:PORT
     */
    record Led(String dataCentre, long epoch, String holder, String address) implements LogRecord {}

    /**
     * A scheduler gives up leadership, so that its successor need not wait for its lease to expire.
     *
     * @param dataCentre name of the data centre
     * @param epoch the epoch that ends
     */
    record Resigned(String dataCentre, long epoch) implements LogRecord {}

    /**
     * A request is accepted. Void if its client account has used the idempotency key before.
     *
     * @param dataCentre name of the data centre that is responsible for it
     * @param request the request
     * @param payloadHash hash of profile and payload, which tells a retry from another request with the same key
     */
    record Accepted(String dataCentre, Request request, String payloadHash) implements LogRecord {}

    /**
     * An attempt to run a request is about to start. Recorded for work that is not idempotent, before any target is
     * told to start it. Void if the request is finished, has another attempt that was not voided, or belongs to
     * another data centre, or if the epoch has ended.
     *
     * @param dataCentre name of the data centre of the attempt
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param epoch epoch of the scheduler that decided to start it
     * @param members the placement of all members
     */
    record Intended(String dataCentre, String request, long attempt, long epoch, List<Member> members)
            implements LogRecord {
        /** Makes a defensive copy of {@code members}. */
        public Intended {
            members = List.copyOf(members);
        }
    }

    /**
     * An attempt has ended without an outcome, and another attempt may follow. Void if it is not the current attempt.
     *
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param checkpointed whether the attempt ran and its state was saved; if false, it was never started
     */
    record Voided(String request, long attempt, boolean checkpointed) implements LogRecord {}

    /**
     * A request has finished. Void if it had finished before.
     *
     * @param request identifier of the request
     * @param outcome the final outcome
     */
    record Finished(String request, Outcome outcome) implements LogRecord {}

    /**
     * A queued request is handed over to another data centre. Void if an attempt is recorded or it is finished, or if
     * {@code from} is not responsible for it.
     *
     * @param request identifier of the request
     * @param from name of the data centre that was responsible for it
     * @param to name of the data centre that is responsible for it from now on
     */
    record HandedOver(String request, String from, String to) implements LogRecord {}
}
