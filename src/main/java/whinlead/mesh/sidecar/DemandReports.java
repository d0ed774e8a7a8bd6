package whinlead.mesh.sidecar;

/**
 * Which control nodes a sidecar's report of its tenants' demand goes to, round by round. With demand, the first node in
 * reach hears of it each round and answers with the sums, the others each third round, so that any of them can take the
 * first one's place. Without demand there is nothing to add to the sums: the end of the demand is told to all once, and
 * then only the first is asked, seldom, for sums that are still fresh when a first request comes. Pure; one thread.
 */
public final class DemandReports {
    /** Control nodes that are not asked for the sums hear of the demand each so many rounds. */
    static final int ALL_ROUNDS = 3;
    /** Without demand, the sums are asked for each so many rounds. */
    static final int IDLE_ROUNDS = 3;

    /** To whom a report goes. */
    public enum Audience {
        /** To none. */
        NONE,
        /** To the first control node in reach, which answers with the sums. */
        FIRST,
        /** To all in reach; the first answers with the sums. */
        ALL
    }

    private int rounds;
    /** As if demand had ended before, so that the first round asks for sums. */
    private int idleRounds = IDLE_ROUNDS - 1;

    /** A round has come; tells to whom what is asked for here is told. */
    public Audience next(boolean demand) {
        rounds++;
        if (demand) {
            idleRounds = 0;
            return rounds % ALL_ROUNDS == 0 ? Audience.ALL : Audience.FIRST;
        }
        idleRounds++;
        if (idleRounds == 1) {
            return Audience.ALL;
        }
        return idleRounds % IDLE_ROUNDS == 0 ? Audience.FIRST : Audience.NONE;
    }
}
