package whinlead.consult;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One caller as identified by a front: a connection, or an identity that outlives connections. */
public final class Peer {
    private final Set<Consultation> open = new LinkedHashSet<>();
    private final boolean retries;
    private final String name;

    /** Creates a caller that can be told to retry. */
    public Peer() {
        this(true, "");
    }

    /**
     * Creates a caller.
     *
     * @param retries whether it can be told to retry
     * @param name identifies it for the members of a group that share a bound
     */
    public Peer(boolean retries, String name) {
        this.retries = retries;
        this.name = name;
    }

    String name() {
        return name;
    }

    boolean retries() {
        return retries;
    }

    /** Number of open consultations. */
    public int open() {
        return open.size();
    }

    void add(Consultation consultation) {
        open.add(consultation);
    }

    void remove(Consultation consultation) {
        open.remove(consultation);
    }

    List<Consultation> all() {
        return List.copyOf(open);
    }
}
