package whinlead.admit;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Admits the connections of one listener, or of several that share their places: limits and rates per client, a reserve
 * for known clients, the selection of connections to close, and the reaction to a shortage of descriptors. The caller
 * reports events with their time and gets the connection to close; no socket, clock or thread is used. A connection
 * with an accepted request is never selected.
 *
 * @param <C> a connection, compared with equals
 */
public final class Gate<C> {
    /** Why a connection was closed. */
    public enum CloseReason {
        /** All places are taken. */
        FULL,
        /** The client has reached its number of connections. */
        CLIENT_CAP,
        /** The client exceeds its rate of new connections. */
        CLIENT_RATE,
        /** The remaining places are reserved for known clients. */
        RESERVE,
        /** The process has no descriptor left. */
        NO_DESCRIPTOR
    }

    /**
     * Limits per client; {@link #none()} sets none.
     *
     * @param prefixes which addresses count as one client
     * @param perClient concurrent connections of a client; at least 1
     * @param perKnownClient concurrent connections of a known client; not lower
     * @param connectionsPerSecond new connections of a client per second; four times that for known clients
     * @param burst new connections of a client allowed at once; at least 1
     * @param reserve places reserved for known clients, up to their recent peak
     * @param maxRemembered clients without connections that are remembered; at least 1
     * @param knownHalfLifeMs half-life in milliseconds of the number of good requests
     */
    public record Limits(
            Client.Prefixes prefixes,
            int perClient,
            int perKnownClient,
            double connectionsPerSecond,
            double burst,
            int reserve,
            int maxRemembered,
            double knownHalfLifeMs) {
        private static final double UNLIMITED = 1e9;

        /** Checks the ranges. */
        public Limits {
            if (perClient < 1
                    || perKnownClient < perClient
                    || !(connectionsPerSecond > 0)
                    || !(burst >= 1)
                    || reserve < 0
                    || maxRemembered < 1
                    || !(knownHalfLifeMs > 0)) {
                throw new IllegalArgumentException("client limits out of range");
            }
        }

        /** No limit per client and no remembered clients: only the phase of each connection matters. */
        public static Limits none() {
            return new Limits(
                    new Client.Prefixes(0, 0), Integer.MAX_VALUE, Integer.MAX_VALUE, UNLIMITED, UNLIMITED, 0, 1, 1);
        }
    }

    /** Half-life of the recorded peak of connections of known clients, which sizes the reserve. */
    private static final double KNOWN_PEAK_HALF_LIFE_MS = 60_000;

    private static final double MIN_PAUSE_MS = 10;
    private static final double MAX_PAUSE_MS = 500;
    /** One place is regained per second after a shortage: whatever took the descriptors may need more. */
    private static final double PLACE_REGAIN_MS = 1000;

    private static final int MIN_PLACES = 4;

    private final Limits limits;
    private final Admission<C> admission;
    private final Clients clients;
    private final Map<C, Clients.Entry> owners = new HashMap<>();
    private final Map<CloseReason, Long> closed = new EnumMap<>(CloseReason.class);
    private int places;
    private double knownPeak;
    private double knownPeakAtMs;
    private int loweredPlaces = Integer.MAX_VALUE;
    private double loweredAtMs = Double.NEGATIVE_INFINITY;
    private double pauseMs;

    /**
     * Creates a gate without connections.
     *
     * @param places concurrent connections in total; beyond them one is closed for each new one
     */
    public Gate(Limits limits, Admission.Limits phases, int places) {
        this.limits = limits;
        this.admission = new Admission<>(phases);
        this.clients = new Clients(limits);
        this.places = places;
    }

    /** Changes the number of places. Connections beyond it are closed as new ones arrive. */
    public void places(int count) {
        places = count;
    }

    /**
     * Records a new connection.
     *
     * @param address address of the remote end, 4 or 16 bytes
     * @return the connection to close now, possibly this one; or null
     */
    public C connectionOpened(C connection, byte[] address, double nowMs) {
        Clients.Entry owner = clients.connectionOpened(Client.of(address, limits.prefixes()), nowMs);
        if (owner == null) {
            return countClosed(CloseReason.CLIENT_RATE, connection);
        }
        owners.put(connection, owner);
        admission.phaseChanged(connection, Admission.Phase.SILENT, nowMs);
        boolean known = owner.known(nowMs);
        int cap = known ? limits.perKnownClient() : limits.perClient();
        if (owner.open() > cap) {
            return countClosed(
                    CloseReason.CLIENT_CAP, admission.selectToClose(nowMs, c -> owners.get(c) == owner, cap));
        }
        int limit = currentPlaces(nowMs);
        int shared = limits.reserve() > 0 ? (int) (limit - reservedPlaces(nowMs)) : limit;
        if (!known && shared < limit && openByUnknown(nowMs) > shared) {
            return countClosed(CloseReason.RESERVE, selectUnknown(nowMs, shared));
        }
        if (admission.open() <= limit) {
            return null;
        }
        C close = known && limits.reserve() > 0 ? selectUnknown(nowMs, limit) : null;
        return countClosed(CloseReason.FULL, close != null ? close : admission.selectToClose(nowMs, c -> true, limit));
    }

    private C selectUnknown(double nowMs, int placeCount) {
        return admission.selectToClose(nowMs, c -> !owners.get(c).known(nowMs), placeCount);
    }

    private C countClosed(CloseReason reason, C close) {
        if (close != null) {
            closed.merge(reason, 1L, Long::sum);
        }
        return close;
    }

    private int openByUnknown(double nowMs) {
        return clients.active().stream()
                .filter(e -> !e.known(nowMs))
                .mapToInt(Clients.Entry::open)
                .sum();
    }

    // Never more than the recent peak of known clients: places reserved beyond it would stay unused.
    private double reservedPlaces(double nowMs) {
        int open = admission.open() - openByUnknown(nowMs);
        knownPeak = Math.max(open, knownPeak * Math.pow(2, (knownPeakAtMs - nowMs) / KNOWN_PEAK_HALF_LIFE_MS));
        knownPeakAtMs = nowMs;
        return Math.min(limits.reserve(), knownPeak);
    }

    private int currentPlaces(double nowMs) {
        double regained = loweredPlaces + (nowMs - loweredAtMs) / PLACE_REGAIN_MS;
        return regained >= places ? places : (int) regained;
    }

    /** Records the new phase of an admitted connection; {@code sinceMs} is the start of the phase. */
    public void phaseChanged(C connection, Admission.Phase phase, double sinceMs) {
        if (owners.containsKey(connection)) {
            admission.phaseChanged(connection, phase, sinceMs);
        }
    }

    /** Records a request: a good one, whatever its outcome, or one that had to be rejected. */
    public void requestReceived(C connection, boolean good, double nowMs) {
        Clients.Entry owner = owners.get(connection);
        if (owner != null) {
            owner.requestReceived(good, nowMs);
        }
    }

    /** Removes a closed connection. May be called more than once. */
    public void connectionClosed(C connection, double nowMs) {
        Clients.Entry owner = owners.remove(connection);
        if (owner != null) {
            admission.connectionClosed(connection);
            clients.connectionClosed(owner, nowMs);
        }
    }

    /**
     * Records that a connection could not be accepted because the process or the system has no descriptor left (EMFILE,
     * ENFILE). The caller must accept nothing for the time given by the gate's pause: a loop of failing accepts would
     * serve no client.
     *
     * @return the connection to close now, or null
     */
    public C descriptorsExhausted(double nowMs) {
        boolean repeated = nowMs - loweredAtMs < pauseMs + PLACE_REGAIN_MS;
        pauseMs = repeated ? Math.min(MAX_PAUSE_MS, pauseMs * 2) : MIN_PAUSE_MS;
        loweredPlaces = Math.max(MIN_PLACES, admission.open() - 1);
        loweredAtMs = nowMs;
        return countClosed(CloseReason.NO_DESCRIPTOR, admission.selectToClose(nowMs, c -> true, loweredPlaces));
    }

    /** Milliseconds after the last shortage in which to accept nothing. */
    public double pauseMs() {
        return pauseMs;
    }

    /** The connection idle for longest, if it has been idle for at least {@code minIdleMs}; else null. */
    public C longestIdle(double nowMs, double minIdleMs) {
        return admission.longestIdle(nowMs, minIdleMs);
    }

    /** Number of open connections. */
    public int open() {
        return admission.open();
    }

    /** Number of connections selected for this reason since the start. */
    public long closed(CloseReason reason) {
        return closed.getOrDefault(reason, 0L);
    }

    /** Number of clients with any state. */
    public int clients() {
        return clients.size();
    }
}
