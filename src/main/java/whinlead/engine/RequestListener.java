package whinlead.engine;

/** Receives the end of every request, once, on the engine's thread. It must not block. */
public interface RequestListener {
    /** How a request ended for its client. */
    enum Result {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /** Does nothing. */
    RequestListener NONE = (ask, at, end) -> {};

    /**
     * A request has ended.
     *
     * @param acceptedAtMs when it was accepted, in milliseconds of the engine's clock
     */
    void requestEnded(Request request, double acceptedAtMs, Result result);
}
