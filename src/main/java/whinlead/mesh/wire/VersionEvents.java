package whinlead.mesh.wire;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import whinlead.mesh.log.Event;

/**
 * Logs data from peers of other versions that this program can't read. Each detail is logged once in the life of the
 * process, up to a limited number of details. For any thread.
 */
final class VersionEvents {
    /** The events of this process. */
    static final VersionEvents PROCESS = new VersionEvents();
    /** Limit on the details that are logged; later ones are dropped. */
    static final int MAX_LOGGED = 64;

    private final Set<String> logged = ConcurrentHashMap.newKeySet();

    /** Logs that a kind, field or value of a later version was ignored. */
    void logIgnored(String detail) {
        logOnce(Event.UNKNOWN_INPUT_IGNORED, detail);
    }

    /** Logs that a message or a greeting was rejected. */
    void logRejected(String peer, String reason) {
        logOnce(Event.PEER_REJECTED, (peer == null ? "unidentified peer" : peer) + ": " + reason);
    }

    /** Number of details that were logged. */
    int logged() {
        return logged.size();
    }

    private void logOnce(Event event, String detail) {
        if (logged.size() < MAX_LOGGED && logged.add(event + detail)) {
            event.log(detail);
        }
    }
}
