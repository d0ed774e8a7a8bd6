package whinlead.membership;

import java.util.HashSet;
import java.util.Set;
import whinlead.Contract;

/**
 * Decides which lists of a source are accepted, and from which version the next is requested. No I/O and no clock; for
 * one thread. A rejected list changes nothing: the last accepted one stays in use as a whole, so that a draining
 * endpoint stays draining.
 */
public final class Roster {
    /** Maximum number of endpoints; a larger list indicates a faulty source, and each endpoint costs memory. */
    public static final int MAX_ENDPOINTS = 10_000;
    /**
     * Consecutive lists with an older version after which the source is taken to have restarted its count, as after a
     * restart without stored state. A single one may be late or from a lagging replica, and would restore removed
     * endpoints.
     */
    private static final int RESTART_THRESHOLD = 2;

    private final Set<String> ids = new HashSet<>();
    private Long seq;
    private int staleLists;

    /** Creates an instance with this accepted list, or with none if it is null. */
    public Roster(EndpointList known) {
        if (known != null && accept(known) != null) {
            throw new IllegalArgumentException("the known list names an endpoint twice, or too many");
        }
    }

    /** The version to request changes from; null for the whole list. */
    public Long acceptedVersion() {
        return seq;
    }

    /** Records a change of the source, which may count versions differently: its whole list is needed. */
    public void sourceChanged() {
        seq = null;
        staleLists = 0;
    }

    /**
     * Checks a list and accepts it if it is valid.
     *
     * @return null if it is accepted, else a short reason; then it must be ignored
     */
    public String accept(EndpointList list) {
        if (seq != null && list.seq() < seq) {
            staleLists++;
            if (staleLists >= RESTART_THRESHOLD) {
                sourceChanged();
            }
            return "version goes backwards";
        }
        // No state changes before all is checked, and the cost is proportional to the entries of the list.
        Set<String> named = new HashSet<>();
        Set<String> present = new HashSet<>();
        int count = list.whole() ? 0 : ids.size();
        for (EndpointList.Entry entry : list.entries()) {
            String id = entry.server().id();
            if (!named.add(id)) {
                return "an endpoint is named twice";
            }
            if (entry.server().state() != Contract.ServerState.GONE) {
                present.add(id);
            }
            count += (present.contains(id) ? 1 : 0) - (!list.whole() && ids.contains(id) ? 1 : 0);
        }
        if (count > MAX_ENDPOINTS) {
            return "more than " + MAX_ENDPOINTS + " endpoints";
        }
        if (list.whole()) {
            ids.clear();
        } else {
            ids.removeAll(named);
        }
        ids.addAll(present);
        seq = list.seq();
        staleLists = 0;
        return null;
    }
}
