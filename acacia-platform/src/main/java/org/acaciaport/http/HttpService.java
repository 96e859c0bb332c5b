package org.acaciaport.http;

/** Handles HTTP requests. Implementations must be thread-safe and may block. */
public interface HttpService {
    /**
     * Handles one request.
     *
     * @throws HttpProblem if the response is an error
     */
    HttpReply handle(HttpCall call) throws HttpProblem;
}
