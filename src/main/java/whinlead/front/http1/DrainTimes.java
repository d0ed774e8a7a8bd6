package whinlead.front.http1;

/**
 * When what is done at a planned end, in milliseconds after the signal. A stopped process is killed no sooner than
 * {@link #kill}, and what it holds then is lost. Pure.
 *
 * @param acceptUntil new connections are taken until then
 * @param closeIdle kept ones that are idle close then, and from then on every answer closes its own
 * @param failAll what is still held is failed then, and what comes later at once
 */
record DrainTimes(double acceptUntil, double closeIdle, double failAll) {
    /** New connections go on coming for up to 400 ms after SIGTERM; the rest is for a late loop. */
    private static final double ACCEPT = 500;
    /** The longest deadline counts as this where it is longer ... */
    private static final double MAX_DEADLINE = 3000;
    /** ... and the kill comes so much after that. */
    private static final double KILL_AFTER = 700;
    /**
     * Kept for the last answers. With 200 ms of it a node of the standing test lost 59 requests: on a quarter of a core
     * the signal takes 40 ms to the loop and 66 answers 70 ms, and a loop that has this much to do is late.
     */
    private static final double LAST_ANSWERS = 500;
    /** Before that, the time for what was taken last; most answers come in far less. */
    private static final double LAST_TAKEN = 1000;

    /** Those of a platform whose classes have deadlines of up to so many milliseconds. */
    static DrainTimes of(double longestDeadline) {
        double failAll = Math.max(ACCEPT, kill(longestDeadline) - LAST_ANSWERS);
        return new DrainTimes(ACCEPT, Math.max(ACCEPT, failAll - LAST_TAKEN), failAll);
    }

    /** The earliest kill. */
    static double kill(double longestDeadline) {
        return Math.min(MAX_DEADLINE, longestDeadline) + KILL_AFTER;
    }
}
