package org.acaciaport.http;

/** Answers HTTP requests. Called by several threads at once; may block. */
public interface HttpService {
    /**
     * Answers one request.
     *
     * @throws HttpProblem to answer with an error
     */
    HttpReply answer(HttpCall call) throws HttpProblem;
}
