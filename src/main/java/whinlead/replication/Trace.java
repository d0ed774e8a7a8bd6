package whinlead.replication;

/**
 * Hears each step that this process takes with a request, so that one request can be followed over all processes that
 * had to do with it. On the engine's thread, which it must not hold up for long.
 */
@FunctionalInterface
public interface Trace {
    /** What is done. */
    enum Step {
        /** The group is asked whether an attempt may go out; its endpoint. */
        ASKED,
        /** It may; its number. */
        GRANTED,
        /** The group has said otherwise; what it said. */
        DENIED,
        /** Nobody has answered in time. */
        GIVEN_UP,
        /** An attempt that nobody was told of is taken back. */
        TAKEN_BACK,
        /** The group is told that nothing ran and nothing will. */
        REFUSING,
        /** The group is told how it ended; how. */
        ENDING,
        /** It has ended so, for all; how. */
        ENDED,
        /** A question is passed on to a member of the group that keeps the request; which one. */
        PASSED_ON,
        /** One that another process passed on is asked of the group; who did. */
        PASSED_HERE
    }

    /**
     * A step.
     *
     * @param id of the request
     * @param detail what the step says, or empty
     */
    void step(String id, Step step, String detail);
}
