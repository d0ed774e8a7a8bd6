package whinlead.admit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state of each client: its open connections, its connection rate and its recent good requests. Bounded: clients
 * without a connection are kept in a segmented LRU (Karedla, Love and Wherry, 1994), in which a flood of unknown
 * clients evicts unknown clients first. It has no clock: all times are milliseconds from one fixed instant and never
 * decrease.
 */
final class Clients {
    /** The share of retained clients without a connection that may be known ones. */
    private static final double KNOWN_SHARE = 0.8;
    /** Decayed number of good requests from which a client is known. */
    private static final double KNOWN_THRESHOLD = 3;
    /** Upper bound of the decayed number, so that a client whose requests turn bad soon becomes unknown. */
    private static final double MAX_GOOD_COUNT = 20;
    /** Factor applied to the number of good requests for each bad one. */
    private static final double BAD_REQUEST_FACTOR = 0.5;
    /** Factor by which the connection rate and burst of a known client are higher. */
    private static final double KNOWN_RATE_FACTOR = 4;

    private static final double MS_PER_SECOND = 1000;

    /** The state of one client. */
    final class Entry {
        private final Client client;
        private int open;
        private double tokens = gateLimits.burst();
        private double tokensAtMs;
        private double goodCount;
        private double goodAtMs;

        private Entry(Client client, double nowMs) {
            this.client = client;
            this.tokensAtMs = nowMs;
            this.goodAtMs = nowMs;
        }

        /** Number of open connections. */
        int open() {
            return open;
        }

        /** True if the client has sent enough good requests recently. */
        boolean known(double nowMs) {
            return goodCount(nowMs) >= KNOWN_THRESHOLD;
        }

        private double goodCount(double nowMs) {
            return goodCount * Math.pow(2, (goodAtMs - nowMs) / gateLimits.knownHalfLifeMs());
        }

        /** Records a good or bad request. */
        void requestReceived(boolean good, double nowMs) {
            goodCount = good ? Math.min(MAX_GOOD_COUNT, goodCount(nowMs) + 1) : goodCount(nowMs) * BAD_REQUEST_FACTOR;
            goodAtMs = nowMs;
        }

        // Takes one token of a token bucket for a new connection.
        private boolean takeToken(double nowMs) {
            double factor = known(nowMs) ? KNOWN_RATE_FACTOR : 1;
            tokens = Math.min(
                    gateLimits.burst() * factor,
                    tokens + (nowMs - tokensAtMs) / MS_PER_SECOND * gateLimits.connectionsPerSecond() * factor);
            tokensAtMs = nowMs;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }

    private final Gate.Limits gateLimits;
    private final Map<Client, Entry> active = new HashMap<>();
    // Clients without connections, in the order in which they closed their last one.
    private final Map<Client, Entry> unknownClients = new LinkedHashMap<>();
    private final Map<Client, Entry> knownClients = new LinkedHashMap<>();

    Clients(Gate.Limits limits) {
        this.gateLimits = limits;
    }

    /** Records a new connection; returns null if it exceeds the client's rate, and then does not count it. */
    Entry connectionOpened(Client client, double nowMs) {
        Entry entry = active.get(client);
        if (entry == null) {
            entry = knownClients.remove(client);
        }
        if (entry == null) {
            entry = unknownClients.remove(client);
        }
        if (entry == null) {
            entry = new Entry(client, nowMs);
        }
        if (!entry.takeToken(nowMs)) {
            if (entry.open == 0) {
                retain(entry, nowMs);
            }
            return null;
        }
        entry.open++;
        active.put(client, entry);
        return entry;
    }

    /** Records the end of a counted connection. */
    void connectionClosed(Entry entry, double nowMs) {
        if (--entry.open == 0) {
            active.remove(entry.client);
            retain(entry, nowMs);
        }
    }

    private void retain(Entry entry, double nowMs) {
        if (entry.known(nowMs)) {
            knownClients.put(entry.client, entry);
            if (knownClients.size() > KNOWN_SHARE * gateLimits.maxRemembered()) {
                Entry oldest = removeOldest(knownClients);
                unknownClients.put(oldest.client, oldest);
            }
        } else {
            unknownClients.put(entry.client, entry);
        }
        while (knownClients.size() + unknownClients.size() > gateLimits.maxRemembered()) {
            removeOldest(unknownClients.isEmpty() ? knownClients : unknownClients);
        }
    }

    private static Entry removeOldest(Map<Client, Entry> entries) {
        Iterator<Entry> iterator = entries.values().iterator();
        Entry oldest = iterator.next();
        iterator.remove();
        return oldest;
    }

    /** Clients with open connections. */
    Collection<Entry> active() {
        return active.values();
    }

    /** Number of clients, with or without connections. */
    int size() {
        return active.size() + unknownClients.size() + knownClients.size();
    }
}
