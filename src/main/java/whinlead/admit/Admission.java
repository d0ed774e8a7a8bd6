package whinlead.admit;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Selects the connection to close when a place is needed, by what each connection does and for how long. It uses no
 * socket, clock or thread: the caller reports each change of phase and asks for a connection to close. A connection
 * that has never carried a request is unknown; an idle one has carried a good request and is known. A connection with
 * an accepted request is never selected.
 *
 * @param <C> a connection, compared with equals
 */
public final class Admission<C> {
    /** The state of a connection. */
    public enum Phase {
        /** Nothing has been received yet. */
        SILENT,
        /** Part of a request has been received. */
        RECEIVING,
        /** A request is accepted and not answered, or its answer is being written. */
        BUSY,
        /** An answer was sent and nothing has been received since. */
        IDLE
    }

    /**
     * The order of selection. Times are milliseconds.
     *
     * @param maxSilentShare the share of all places up to which silent connections are kept and idle ones are closed
     *     for them; a new connection thus has time for that number of arrivals to send something
     * @param longIdleMs after this time an idle connection is closed before all others
     * @param minIdleMs a connection idle for less is not closed: its next request may be in transit
     * @param slowRequestMs a connection receiving a request for longer may be closed; a good request is complete long
     *     before
     */
    public record Limits(double maxSilentShare, double longIdleMs, double minIdleMs, double slowRequestMs) {
        /** Checks the ranges. */
        public Limits {
            if (!(maxSilentShare >= 0 && maxSilentShare <= 1)
                    || !(minIdleMs >= 0)
                    || !(longIdleMs >= minIdleMs)
                    || !(slowRequestMs >= 0)) {
                throw new IllegalArgumentException("limits out of range");
            }
        }
    }

    private final Limits limits;
    private final Map<Phase, Map<C, Double>> phases = new EnumMap<>(Phase.class);
    private final Map<C, Phase> connections = new LinkedHashMap<>();

    /** Creates an instance without connections. */
    public Admission(Limits limits) {
        this.limits = limits;
        for (Phase phase : Phase.values()) {
            phases.put(phase, new LinkedHashMap<>());
        }
    }

    /** Records a new connection or the new phase of one; {@code sinceMs} is the start of the phase. */
    public void phaseChanged(C connection, Phase phase, double sinceMs) {
        connectionClosed(connection);
        connections.put(connection, phase);
        phases.get(phase).put(connection, sinceMs);
    }

    /** Removes a closed connection. */
    public void connectionClosed(C connection) {
        Phase phase = connections.remove(connection);
        if (phase != null) {
            phases.get(phase).remove(connection);
        }
    }

    /** Number of open connections. */
    public int open() {
        return connections.size();
    }

    /**
     * Selects one of the eligible connections, which share {@code places} places, to close now; null if none of them
     * may be closed.
     */
    public C selectToClose(double nowMs, Predicate<C> eligible, int places) {
        C idle = oldest(Phase.IDLE, nowMs, limits.minIdleMs(), eligible);
        C silent = oldest(Phase.SILENT, nowMs, 0, eligible);
        if (idle != null && nowMs - phases.get(Phase.IDLE).get(idle) > limits.longIdleMs()) {
            return idle;
        }
        long silentCount =
                phases.get(Phase.SILENT).keySet().stream().filter(eligible).count();
        if (silentCount > (int) (limits.maxSilentShare() * places)) {
            return silent;
        }
        if (idle != null) {
            return idle;
        }
        C slow = oldest(Phase.RECEIVING, nowMs, limits.slowRequestMs(), eligible);
        // The only silent connection is the newest one, which has had no time to send anything.
        boolean onlyNewestSilent = silentCount == 1;
        return silent == null || onlyNewestSilent && slow != null ? slow : silent;
    }

    /** The connection idle for longest, if it has been idle for at least {@code minIdleMs}; else null. */
    public C longestIdle(double nowMs, double minIdleMs) {
        return oldest(Phase.IDLE, nowMs, minIdleMs, c -> true);
    }

    private C oldest(Phase phase, double nowMs, double minAgeMs, Predicate<C> eligible) {
        C oldest = null;
        double oldestSinceMs = nowMs - minAgeMs;
        for (Map.Entry<C, Double> entry : phases.get(phase).entrySet()) {
            if ((entry.getValue() < oldestSinceMs || oldest == null && entry.getValue() <= oldestSinceMs)
                    && eligible.test(entry.getKey())) {
                oldest = entry.getKey();
                oldestSinceMs = entry.getValue();
            }
        }
        return oldest;
    }
}
