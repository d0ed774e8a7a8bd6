package cobaltrack.consult;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One caller, as a front tells them apart: a connection, or whatever outlives one. */
public final class Peer {
    private final Set<Consultation> open = new LinkedHashSet<>();

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
