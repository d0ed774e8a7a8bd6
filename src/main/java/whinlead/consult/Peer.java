package whinlead.consult;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One caller, as a front tells them apart: a connection, or whatever outlives one. */
public final class Peer {
    private final Set<Consultation> open = new LinkedHashSet<>();
    private final boolean retries;
    private final String name;

    /** A caller that can be told to try again. */
    public Peer() {
        this(true, "");
    }

    /**
     * A caller.
     *
     * @param retries whether it can be told to try again
     * @param name what tells it apart from others, for members of a group that share a bound
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

    /** Consultations that it has open. */
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
