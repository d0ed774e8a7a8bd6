package whinlead.admit;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Chooses the connection that makes room, by what each does and for how long. It knows no socket, clock or thread: it
 * is told what connections come to do, and asked for one to close. Those that never carried a request are unknown; an
 * idle one has carried a good request and is known. What holds a taken request is never chosen.
 *
 * @param <C> a connection, told apart by identity or as its class has it
 */
public final class Admission<C> {
    /** What a connection does. */
    public enum Phase {
        /** It has sent nothing yet. */
        SILENT,
        /** A request has begun to come. */
        RECEIVING,
        /** A request is taken, or an answer on its way. */
        HELD,
        /** It has had an answer and has sent nothing since. */
        IDLE
    }

    /**
     * Who goes first. Times are milliseconds.
     *
     * @param unknownPart of the places, as a share, those that silent connections may have while known ones are closed
     *     for them; a new one has so many arrivals of time to say something
     * @param idleLong an idle connection goes before all others from then on
     * @param idleLeast one that has been idle for less is not closed: its next request may be on its way
     * @param slowLeast a good request has come whole long before
     */
    public record Limits(double unknownPart, double idleLong, double idleLeast, double slowLeast) {
        /** Checks the ranges. */
        public Limits {
            if (!(unknownPart >= 0 && unknownPart <= 1)
                    || !(idleLeast >= 0)
                    || !(idleLong >= idleLeast)
                    || !(slowLeast >= 0)) {
                throw new IllegalArgumentException("limits out of range");
            }
        }
    }

    private final Limits limits;
    private final Map<Phase, Map<C, Double>> phases = new EnumMap<>(Phase.class);
    private final Map<C, Phase> connections = new LinkedHashMap<>();

    /** Nothing is open. */
    public Admission(Limits limits) {
        this.limits = limits;
        for (Phase phase : Phase.values()) {
            phases.put(phase, new LinkedHashMap<>());
        }
    }

    /** A connection has come, or come to do something else; {@code since} is when that counts from. */
    public void entered(C connection, Phase phase, double since) {
        left(connection);
        connections.put(connection, phase);
        phases.get(phase).put(connection, since);
    }

    /** It is closed. */
    public void left(C connection) {
        Phase phase = connections.remove(connection);
        if (phase != null) {
            phases.get(phase).remove(connection);
        }
    }

    /** Connections open. */
    public int open() {
        return connections.size();
    }

    /** The one to close now of these, which have so many places; null if none of them may be closed. */
    public C choose(double now, Predicate<C> of, int places) {
        C idle = oldest(Phase.IDLE, now, limits.idleLeast(), of);
        C silent = oldest(Phase.SILENT, now, 0, of);
        if (idle != null && now - phases.get(Phase.IDLE).get(idle) > limits.idleLong()) {
            return idle;
        }
        long silents = phases.get(Phase.SILENT).keySet().stream().filter(of).count();
        if (silents > (int) (limits.unknownPart() * places)) {
            return silent;
        }
        if (idle != null) {
            return idle;
        }
        C slow = oldest(Phase.RECEIVING, now, limits.slowLeast(), of);
        // The only silent one is the newest, which has had no time to say anything.
        boolean newcomerOnly = silents == 1;
        return silent == null || newcomerOnly && slow != null ? slow : silent;
    }

    /** The one that has idled for longest, if that is longer than told; or null. */
    public C idleFor(double now, double millis) {
        return oldest(Phase.IDLE, now, millis, c -> true);
    }

    private C oldest(Phase phase, double now, double least, Predicate<C> of) {
        C oldest = null;
        double since = now - least;
        for (Map.Entry<C, Double> c : phases.get(phase).entrySet()) {
            if ((c.getValue() < since || oldest == null && c.getValue() <= since) && of.test(c.getKey())) {
                oldest = c.getKey();
                since = c.getValue();
            }
        }
        return oldest;
    }
}
