package org.acaciaport.http;

import org.acaciaport.config.Target;
import org.acaciaport.config.Treatment;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.platform.TargetClient;

/**
 * The targets' task interface over HTTP.
 *
 * <p>Safe for use by several threads.
 */
public final class HttpTargetClient implements TargetClient {
    private static final long CALL_MILLIS = 1_000;

    private final JsonClient client;

    /** Creates an adapter that sends through {@code client}. */
    public HttpTargetClient(JsonClient client) {
        this.client = client;
    }

    /**
     * Body of a poll.
     *
     * @param epoch epoch of the caller
     * @param since version of the last report read
     * @param waitMillis how long to wait for a change
     * @param leaseMillis how long work goes on without another poll
     */
    public record Poll(long epoch, long since, long waitMillis, long leaseMillis) {}

    /**
     * Body of a reservation.
     *
     * @param place the place to hold
     * @param holdMillis how long to hold it
     */
    public record Reserve(Place place, long holdMillis) {}

    /**
     * Body of a start.
     *
     * @param place the place
     * @param work what to run
     * @param incarnation incarnation of the target that is meant
     * @param startBefore latest time of the start on the target's clock
     */
    public record Start(Place place, Work work, String incarnation, long startBefore) {}

    /**
     * Body of a treatment.
     *
     * @param place the place
     * @param treatment what to do
     * @param incarnation incarnation of the target that is meant
     */
    public record Treat(Place place, Treatment treatment, String incarnation) {}

    /** Answer of a target that did what was asked. */
    public record Acknowledgement(long clock) {}

    @Override
    public Report poll(Target target, long epoch, long since, long waitMillis, long leaseMillis)
            throws PlatformException {
        Poll poll = new Poll(epoch, since, waitMillis, leaseMillis);
        return client.post(target.address() + "/poll", poll, Report.class, CALL_MILLIS + waitMillis);
    }

    @Override
    public void reserve(Target target, Place place, long holdMillis) throws PlatformException {
        call(target, "/reserve", new Reserve(place, holdMillis));
    }

    @Override
    public void release(Target target, Place place) throws PlatformException {
        call(target, "/release", place);
    }

    @Override
    public void start(Target target, Place place, Work work, String incarnation, long startBefore)
            throws PlatformException {
        call(target, "/start", new Start(place, work, incarnation, startBefore));
    }

    @Override
    public void treat(Target target, Place place, Treatment treatment, String incarnation) throws PlatformException {
        call(target, "/treat", new Treat(place, treatment, incarnation));
    }

    @Override
    public void resume(Target target, Place place) throws PlatformException {
        call(target, "/resume", place);
    }

    private void call(Target target, String path, Object body) throws PlatformException {
        client.post(target.address() + path, body, Acknowledgement.class, CALL_MILLIS);
    }
}
