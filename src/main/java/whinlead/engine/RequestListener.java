package whinlead.engine;

/** Is told of every request once, when it is over; on the engine's thread, which it must not hold up. */
public interface RequestListener {
    /** How a request ended for its client. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /** Notes nothing. */
    RequestListener NONE = (ask, at, end) -> {};

    /**
     * A request is over.
     *
     * @param at when it was taken, in milliseconds of the engine's time
     */
    void over(Request ask, double at, End end);
}
