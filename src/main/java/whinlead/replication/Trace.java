package whinlead.replication;

/**
 * Listens to each step that this process takes for a request, so that a request can be traced across all processes
 * involved. On the engine's thread, which it must not block for long.
 */
@FunctionalInterface
public interface Trace {
    /** The kinds of steps; the comment of each also says what its detail is. */
    enum Step {
        /** The group is asked to grant an attempt; detail: its endpoint. */
        ASKED,
        /** The attempt was granted; detail: its index. */
        GRANTED,
        /** The attempt was not granted; detail: the group's reply. */
        DENIED,
        /** No reply arrived in time; detail: the endpoint. */
        GIVEN_UP,
        /** An attempt whose caller was not told of it is withdrawn. */
        TAKEN_BACK,
        /** The group is asked to refuse the request. */
        REFUSING,
        /** The group is told how the request ended; detail: the ending. */
        ENDING,
        /** The group has confirmed the ending, which is final; detail: the ending. */
        ENDED,
        /** A command is sent to a member of the group that is responsible for the request; detail: that member. */
        PASSED_ON,
        /** A command that another process sent here is submitted to the group; detail: that process. */
        PASSED_HERE
    }

    /**
     * Records a step.
     *
     * @param id of the request
     * @param detail as the step defines it, or empty
     */
    void step(String id, Step step, String detail);
}
