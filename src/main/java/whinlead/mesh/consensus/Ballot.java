package whinlead.mesh.consensus;

import java.util.Comparator;

/**
 * The number of a ballot, Paxos' term: no two lives of control nodes ever use the same one, and any two are in order.
 *
 * @param round counts up; 0 is before the first
 * @param by names the control node that calls it, and which life of it
 */
public record Ballot(long round, String by) implements Comparable<Ballot> {
    /** Before any ballot. */
    public static final Ballot NONE = new Ballot(0, "");

    private static final Comparator<Ballot> ORDER =
            Comparator.comparingLong(Ballot::round).thenComparing(Ballot::by);

    @Override
    public int compareTo(Ballot other) {
        return ORDER.compare(this, other);
    }
}
