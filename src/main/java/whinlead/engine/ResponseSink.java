package whinlead.engine;

/**
 * Where the one end of a request goes. Of these methods exactly one is called, once, on the engine's thread, unless the
 * request was abandoned before; it may be called before {@link Engine#take} has returned.
 *
 * @param <A> what an endpoint's answer is to this front
 */
public interface ResponseSink<A> {
    /** An endpoint served it. */
    void served(A answer);

    /**
     * It was turned away, and nothing of it ran or another try does no harm.
     *
     * @param retryAfter milliseconds after which to try again; 0 for nothing said
     */
    void refused(double retryAfter);

    /** It failed, and may have run. */
    void failed();
}
