package whinlead.admit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is known of each client: what it has open, how fast it comes, and whether it lately asked good requests.
 * Bounded: those with nothing open are kept in a segmented LRU (Karedla, Love and Wherry, 1994), in which a flood of
 * strangers pushes out strangers first. It knows no clock: every time is milliseconds from one fixed instant, and they
 * never fall.
 */
final class Clients {
    /** Of those kept without a connection, the part that may be known ones. */
    private static final double KNOWN_PART = 0.8;
    /** Good requests after which a client is known, as they add up with decay. */
    private static final double KNOWN_FROM = 3;
    /** No more are saved up, so that one that turns bad is a stranger soon. */
    private static final double MAX_GOOD = 20;
    /** What a bad request leaves. */
    private static final double BAD_KEEP = 0.5;
    /** A known client may open connections so many times as fast. */
    private static final double KNOWN_FASTER = 4;

    private static final double SECOND = 1000;

    /** One client. */
    final class Entry {
        private final Client client;
        private int open;
        private double tokens = gateLimits.burst();
        private double tokensAt;
        private double good;
        private double goodAt;

        private Entry(Client client, double now) {
            this.client = client;
            this.tokensAt = now;
            this.goodAt = now;
        }

        /** Connections that it has open. */
        int open() {
            return open;
        }

        /** True if it lately asked enough good requests. */
        boolean known(double now) {
            return good(now) >= KNOWN_FROM;
        }

        private double good(double now) {
            return good * Math.pow(2, (goodAt - now) / gateLimits.knownHalfLife());
        }

        /** It has asked a request, which was good or bad. */
        void asked(boolean well, double now) {
            good = well ? Math.min(MAX_GOOD, good(now) + 1) : good(now) * BAD_KEEP;
            goodAt = now;
        }

        // A token bucket: one for each new connection.
        private boolean pays(double now) {
            double faster = known(now) ? KNOWN_FASTER : 1;
            tokens = Math.min(
                    gateLimits.burst() * faster, tokens + (now - tokensAt) / SECOND * gateLimits.perSecond() * faster);
            tokensAt = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }

    private final Gate.Limits gateLimits;
    private final Map<Client, Entry> active = new HashMap<>();
    // With nothing open, the longest so first.
    private final Map<Client, Entry> strangers = new LinkedHashMap<>();
    private final Map<Client, Entry> known = new LinkedHashMap<>();

    Clients(Gate.Limits limits) {
        this.gateLimits = limits;
    }

    /** A connection of this client has come; null if it comes faster than it may, and then it counts not. */
    Entry arrived(Client client, double now) {
        Entry entry = active.get(client);
        if (entry == null) {
            entry = known.remove(client);
        }
        if (entry == null) {
            entry = strangers.remove(client);
        }
        if (entry == null) {
            entry = new Entry(client, now);
        }
        if (!entry.pays(now)) {
            if (entry.open == 0) {
                keep(entry, now);
            }
            return null;
        }
        entry.open++;
        active.put(client, entry);
        return entry;
    }

    /** A connection that had come is gone. */
    void left(Entry entry, double now) {
        if (--entry.open == 0) {
            active.remove(entry.client);
            keep(entry, now);
        }
    }

    private void keep(Entry entry, double now) {
        if (entry.known(now)) {
            known.put(entry.client, entry);
            if (known.size() > KNOWN_PART * gateLimits.remembered()) {
                Entry oldest = takeOldest(known);
                strangers.put(oldest.client, oldest);
            }
        } else {
            strangers.put(entry.client, entry);
        }
        while (known.size() + strangers.size() > gateLimits.remembered()) {
            takeOldest(strangers.isEmpty() ? known : strangers);
        }
    }

    private static Entry takeOldest(Map<Client, Entry> from) {
        Iterator<Entry> all = from.values().iterator();
        Entry oldest = all.next();
        all.remove();
        return oldest;
    }

    /** Those that have connections open. */
    Collection<Entry> active() {
        return active.values();
    }

    /** All that is kept. */
    int size() {
        return active.size() + strangers.size() + known.size();
    }
}
