package org.acaciaport.http;

/** Thrown to respond to an HTTP request with an error. The message says what is wrong, the remedy what to do. */
public final class HttpProblem extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final int status;
    private final String error;
    private final String remedy;

    /**
     * Creates a problem.
     *
     * @param status the HTTP status of the response
     * @param error one word that programs can act on
     * @param reason what is wrong
     * @param remedy what to do
     */
    public HttpProblem(int status, String error, String reason, String remedy) {
        super(reason);
        this.status = status;
        this.error = error;
        this.remedy = remedy;
    }

    /** Returns a problem for an invalid request, with status 400. */
    public static HttpProblem invalid(String reason, String remedy) {
        return new HttpProblem(BAD_REQUEST, "invalid", reason, remedy);
    }

    /** Returns a problem for a path or resource that does not exist, with status 404. */
    public static HttpProblem notFound(String reason, String remedy) {
        return new HttpProblem(NOT_FOUND, "not-found", reason, remedy);
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Returns the body of the response. */
    public Body body() {
        return new Body(error, getMessage(), remedy);
    }

    /**
     * The JSON body of an error response.
     *
     * @param error one word that programs can act on
     * @param reason what is wrong
     * @param remedy what to do
     */
    public record Body(String error, String reason, String remedy) {}
}
