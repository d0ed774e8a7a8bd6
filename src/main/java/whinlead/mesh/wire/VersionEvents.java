package whinlead.mesh.wire;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import whinlead.mesh.log.Event;

/**
 * Logs what a peer of another version says and this one can't read. Each thing is logged once in the life of the
 * process, and no more than a bounded number of things. For any thread.
 */
final class VersionEvents {
    /** The events of this process. */
    static final VersionEvents PROCESS = new VersionEvents();
    /** Things that are logged; what comes after them is passed over in silence. */
    static final int MAX_LOGGED = 64;

    private final Set<String> logged = ConcurrentHashMap.newKeySet();

    /** A kind, field or value of a later version was passed over. */
    void passedOver(String what) {
        once(Event.PASSED_OVER, what);
    }

    /** A message or a greeting was refused. */
    void refused(String peer, String why) {
        once(Event.PEER_REFUSED, (peer == null ? "a peer not yet named" : peer) + ": " + why);
    }

    /** How many things were logged. */
    int logged() {
        return logged.size();
    }

    private void once(Event event, String detail) {
        if (logged.size() < MAX_LOGGED && logged.add(event + detail)) {
            event.log(detail);
        }
    }
}
