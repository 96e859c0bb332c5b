package org.acaciaport.http;

/** Thrown to answer an HTTP request with an error; the message says what is wrong and the remedy what to do. */
public final class HttpProblem extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final int status;
    private final String kind;
    private final String remedy;

    /** Creates a problem that is answered with {@code status}. */
    public HttpProblem(int status, String kind, String reason, String remedy) {
        super(reason);
        this.status = status;
        this.kind = kind;
        this.remedy = remedy;
    }

    /** Returns a problem with the request itself. */
    public static HttpProblem invalid(String reason, String remedy) {
        return new HttpProblem(BAD_REQUEST, "invalid", reason, remedy);
    }

    /** Returns a problem with what the request names. */
    public static HttpProblem notFound(String reason, String remedy) {
        return new HttpProblem(NOT_FOUND, "not-found", reason, remedy);
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the body to answer with. */
    public Body body() {
        return new Body(kind, getMessage(), remedy);
    }

    /**
     * The JSON body of an error.
     *
     * @param error one word that programs can act on
     * @param reason what is wrong
     * @param remedy what to do
     */
    public record Body(String error, String reason, String remedy) {}
}
