package whinlead.admit;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Admits the connections of one listener, or of several that share their places: caps and rates by client, a reserve
 * for known clients, who makes room, and what to do when the process has no descriptor left. It is told what happens,
 * with the time, and answers with the connection to close; no socket, clock or thread. What holds a taken request is
 * never chosen.
 *
 * @param <C> a connection, told apart by identity or as its class has it
 */
public final class Gate<C> {
    /** Why a connection was closed. */
    public enum Why {
        /** All places are taken. */
        FULL,
        /** Its client has as many as it may have. */
        CLIENT_CAP,
        /** Its client opens them faster than it may. */
        CLIENT_RATE,
        /** The places left are kept for known clients. */
        RESERVE,
        /** The process has no descriptor left. */
        NO_DESCRIPTOR
    }

    /**
     * What clients may do; {@link #none()} limits nothing.
     *
     * @param prefixes which addresses are one client
     * @param perClient connections of a client at once; at least 1
     * @param perKnownClient the same of a known one; no less
     * @param perSecond new connections of a client, a second; known ones may have four times that
     * @param burst new connections of a client that may come at once; at least 1
     * @param reserve places that only known clients may take, as far as they lately needed them
     * @param remembered clients remembered that have nothing open; at least 1
     * @param knownHalfLife milliseconds in which good requests come to count half
     */
    public record Limits(
            Client.Prefixes prefixes,
            int perClient,
            int perKnownClient,
            double perSecond,
            double burst,
            int reserve,
            int remembered,
            double knownHalfLife) {
        private static final double UNLIMITED = 1e9;

        /** Checks the ranges. */
        public Limits {
            if (perClient < 1
                    || perKnownClient < perClient
                    || !(perSecond > 0)
                    || !(burst >= 1)
                    || reserve < 0
                    || remembered < 1
                    || !(knownHalfLife > 0)) {
                throw new IllegalArgumentException("limits of clients out of range");
            }
        }

        /** No limit on any client, and none remembered: all that counts is what each connection does. */
        public static Limits none() {
            return new Limits(
                    new Client.Prefixes(0, 0), Integer.MAX_VALUE, Integer.MAX_VALUE, UNLIMITED, UNLIMITED, 0, 1, 1);
        }
    }

    /** The need of known clients is the most that they had open, of which so much stays after this time. */
    private static final double NEED_HALF_LIFE_MS = 60_000;

    private static final double MIN_PAUSE_MS = 10;
    private static final double MAX_PAUSE_MS = 500;
    /** One place more a second after a shortage: whoever took the descriptors may want more still. */
    private static final double REGAIN_MS = 1000;

    private static final int MIN_PLACES = 4;

    private final Limits limits;
    private final Admission<C> admission;
    private final Clients clients;
    private final Map<C, Clients.Entry> owners = new HashMap<>();
    private final Map<Why, Long> closed = new EnumMap<>(Why.class);
    private int places;
    private double need;
    private double needAt;
    private int lowered = Integer.MAX_VALUE;
    private double loweredAt = Double.NEGATIVE_INFINITY;
    private double pause;

    /**
     * Nothing is open.
     *
     * @param places connections at once, in all; beyond them room is made
     */
    public Gate(Limits limits, Admission.Limits phases, int places) {
        this.limits = limits;
        this.admission = new Admission<>(phases);
        this.clients = new Clients(limits);
        this.places = places;
    }

    /** So many places from now on. Those open beyond them go as new ones come. */
    public void places(int changed) {
        places = changed;
    }

    /**
     * A connection has come.
     *
     * @param address its far end's, 4 or 16 bytes
     * @return the one to close now, perhaps itself; or null
     */
    public C arrived(C connection, byte[] address, double now) {
        Clients.Entry owner = clients.arrived(Client.of(address, limits.prefixes()), now);
        if (owner == null) {
            return note(Why.CLIENT_RATE, connection);
        }
        owners.put(connection, owner);
        admission.entered(connection, Admission.Phase.SILENT, now);
        boolean known = owner.known(now);
        int cap = known ? limits.perKnownClient() : limits.perClient();
        if (owner.open() > cap) {
            return note(Why.CLIENT_CAP, admission.choose(now, c -> owners.get(c) == owner, cap));
        }
        int most = placesNow(now);
        int shared = limits.reserve() > 0 ? (int) (most - reserved(now)) : most;
        if (!known && shared < most && strangersOpen(now) > shared) {
            return note(Why.RESERVE, stranger(now, shared));
        }
        if (admission.open() <= most) {
            return null;
        }
        C close = known && limits.reserve() > 0 ? stranger(now, most) : null;
        return note(Why.FULL, close != null ? close : admission.choose(now, c -> true, most));
    }

    private C stranger(double now, int ofPlaces) {
        return admission.choose(now, c -> !owners.get(c).known(now), ofPlaces);
    }

    private C note(Why why, C close) {
        if (close != null) {
            closed.merge(why, 1L, Long::sum);
        }
        return close;
    }

    private int strangersOpen(double now) {
        return clients.active().stream()
                .filter(e -> !e.known(now))
                .mapToInt(Clients.Entry::open)
                .sum();
    }

    // Never more than what known clients lately had: places kept for nobody would be lost to all.
    private double reserved(double now) {
        int open = admission.open() - strangersOpen(now);
        need = Math.max(open, need * Math.pow(2, (needAt - now) / NEED_HALF_LIFE_MS));
        needAt = now;
        return Math.min(limits.reserve(), need);
    }

    private int placesNow(double now) {
        double regained = lowered + (now - loweredAt) / REGAIN_MS;
        return regained >= places ? places : (int) regained;
    }

    /** A connection that was kept has come to do something else; {@code since} is when that counts from. */
    public void entered(C connection, Admission.Phase phase, double since) {
        if (owners.containsKey(connection)) {
            admission.entered(connection, phase, since);
        }
    }

    /** It has asked a request: a good one, whatever became of it, or one that had to be turned away. */
    public void asked(C connection, boolean well, double now) {
        Clients.Entry owner = owners.get(connection);
        if (owner != null) {
            owner.asked(well, now);
        }
    }

    /** It is closed. May be told more than once. */
    public void left(C connection, double now) {
        Clients.Entry owner = owners.remove(connection);
        if (owner != null) {
            admission.left(connection);
            clients.left(owner, now);
        }
    }

    /**
     * One could not be accepted, for the process or the system has no descriptor left (EMFILE, ENFILE). Nothing is to
     * be accepted for {@link #pause()}: a loop that only fails serves nobody.
     *
     * @return the one to close now, or null
     */
    public C noDescriptor(double now) {
        boolean again = now - loweredAt < pause + REGAIN_MS;
        pause = again ? Math.min(MAX_PAUSE_MS, pause * 2) : MIN_PAUSE_MS;
        lowered = Math.max(MIN_PLACES, admission.open() - 1);
        loweredAt = now;
        return note(Why.NO_DESCRIPTOR, admission.choose(now, c -> true, lowered));
    }

    /** Milliseconds for which to accept nothing after the last shortage. */
    public double pause() {
        return pause;
    }

    /** The one that has idled for longest, if that is longer than told; or null. */
    public C idleFor(double now, double millis) {
        return admission.idleFor(now, millis);
    }

    /** Connections open. */
    public int open() {
        return admission.open();
    }

    /** Connections closed for this reason, since the start. */
    public long closed(Why why) {
        return closed.getOrDefault(why, 0L);
    }

    /** Clients of which anything is known. */
    public int clients() {
        return clients.size();
    }
}
