package whinlead.membership;

import java.util.HashSet;
import java.util.Set;
import whinlead.Contract;

/**
 * Which lists of a source are believed, and from which version on the next is asked for. Free of I/O and clocks; for
 * one thread. A list that is not believed changes nothing: the last good one stands whole, so that an entry told as
 * draining stays so.
 */
public final class Roster {
    /** The most endpoints known at once; more is a source gone wrong, and each costs memory. */
    public static final int MAX_ENDPOINTS = 10_000;
    /**
     * So many lists in a row of a version before the last one: the source counts anew, as after a restart with nothing
     * kept. One alone may be late, or of a replica that lags, and would bring back what is gone.
     */
    private static final int ANEW = 2;

    private final Set<String> ids = new HashSet<>();
    private Long seq;
    private int backwards;

    /** One that knows this list, or nothing if it is null. */
    public Roster(EndpointList known) {
        if (known != null && take(known) != null) {
            throw new IllegalArgumentException("the known list names an endpoint twice, or too many");
        }
    }

    /** The version to hear changes of; null for the whole list. */
    public Long after() {
        return seq;
    }

    /** Another source from now on, whose versions may be counted otherwise: its whole list is wanted. */
    public void moved() {
        seq = null;
        backwards = 0;
    }

    /**
     * Takes in a list.
     *
     * @return null if it is believed, else why not, in a few words; then it must not be heeded
     */
    public String take(EndpointList list) {
        if (seq != null && list.seq() < seq) {
            backwards++;
            if (backwards >= ANEW) {
                moved();
            }
            return "version goes backwards";
        }
        // Nothing is changed before all is checked, and a change of one entry costs one.
        Set<String> named = new HashSet<>();
        Set<String> here = new HashSet<>();
        int known = list.whole() ? 0 : ids.size();
        for (EndpointList.Entry e : list.entries()) {
            String id = e.server().id();
            if (!named.add(id)) {
                return "an endpoint is named twice";
            }
            if (e.server().standing() != Contract.Standing.GONE) {
                here.add(id);
            }
            known += (here.contains(id) ? 1 : 0) - (!list.whole() && ids.contains(id) ? 1 : 0);
        }
        if (known > MAX_ENDPOINTS) {
            return "more than " + MAX_ENDPOINTS + " endpoints";
        }
        if (list.whole()) {
            ids.clear();
        } else {
            ids.removeAll(named);
        }
        ids.addAll(here);
        seq = list.seq();
        backwards = 0;
        return null;
    }
}
