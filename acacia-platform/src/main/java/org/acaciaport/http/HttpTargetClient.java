package org.acaciaport.http;

import org.acaciaport.config.Target;
import org.acaciaport.config.Treatment;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.platform.TargetClient;

/**
 * A client of the targets' task interface over HTTP.
 *
 * <p>Thread-safe.
 */
public final class HttpTargetClient implements TargetClient {
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private final JsonClient client;

    /** Creates a client that sends its calls with {@code client}. */
    public HttpTargetClient(JsonClient client) {
        this.client = client;
    }

    /**
     * Body of a poll request.
     *
     * @param epoch epoch of the caller
     * @param since version of the last report read; 0 to read all tasks
     * @param waitMillis longest time to wait for a change, in milliseconds
     * @param leaseMillis duration of the renewed lease, in milliseconds
     */
    public record Poll(long epoch, long since, long waitMillis, long leaseMillis) {}

    /**
     * Body of a reservation request.
     *
     * @param place the place to reserve
     * @param holdMillis duration of the reservation, in milliseconds
     */
    public record Reserve(Place place, long holdMillis) {}

    /**
     * Body of a start request.
     *
     * @param place the place
     * @param work the input of the task
     * @param incarnation the expected incarnation of the target
     * @param startBefore deadline of the start, in milliseconds on the target's clock
     */
    public record Start(Place place, Work work, String incarnation, long startBefore) {}

    /**
     * Body of a request to checkpoint, throttle or stop a task.
     *
     * @param place the place
     * @param treatment what to do with the task
     * @param incarnation the expected incarnation of the target
     */
    public record Treat(Place place, Treatment treatment, String incarnation) {}

    /**
     * Response to a call that succeeded.
     *
     * @param clock reading of the target's clock, in milliseconds
     */
    public record Acknowledgement(long clock) {}

    @Override
    public Report poll(Target target, long epoch, long since, long waitMillis, long leaseMillis)
            throws PlatformException {
        Poll poll = new Poll(epoch, since, waitMillis, leaseMillis);
        return client.post(target.address() + "/poll", poll, Report.class, CALL_TIMEOUT_MILLIS + waitMillis);
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
        client.post(target.address() + path, body, Acknowledgement.class, CALL_TIMEOUT_MILLIS);
    }
}
