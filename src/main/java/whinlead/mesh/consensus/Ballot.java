package whinlead.mesh.consensus;

import java.util.Comparator;

/**
 * A Paxos ballot number. Ballots are totally ordered, and no two processes of control nodes use the same one. The name
 * identifies the control node that proposes and the process of it.
 *
 * @param round counts up; 0 is before the first ballot
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    /** Lower than every ballot in use. */
    public static final Ballot NONE = new Ballot(0, "");

    private static final Comparator<Ballot> ORDER =
            Comparator.comparingLong(Ballot::round).thenComparing(Ballot::proposer);

    @Override
    public int compareTo(Ballot other) {
        return ORDER.compare(this, other);
    }
}
