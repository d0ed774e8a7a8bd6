package whinlead.engine;

/**
 * Receives the result of a request. Exactly one of these methods is called, once, on the engine's thread, unless the
 * request was abandoned before. The call may happen before the engine's method that accepts the request has returned.
 *
 * @param <A> the type of an endpoint's answer
 */
public interface ResponseSink<A> {
    /** An endpoint served it. */
    void served(A answer);

    /**
     * It was refused: it did not run, or a retry does no harm.
     *
     * @param retryAfterMs milliseconds after which to retry; 0 if not given
     */
    void refused(double retryAfterMs);

    /** It failed, and may have run. */
    void failed();
}
