package whinlead.mesh.departure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The departures that a control node remembers. Each is kept for {@link #RETENTION_MS}, by when no heartbeat that its
 * endpoint sent before can still arrive. Pure; one thread; times in milliseconds on one steady clock.
 */
public final class DepartureLog {
    /** How long a departure is kept, in milliseconds. */
    public static final long RETENTION_MS = 120_000;
    /** Maximum number of departures, so that a faulty peer can't exhaust the memory; the oldest are dropped first. */
    public static final int MAX_DEPARTURES = 16_384;

    /** When each was recorded, oldest first. */
    private final Map<Departure, Double> recordedAtMs = new LinkedHashMap<>();

    /** Adds the departures that are not known yet; returns whether there were any. */
    public boolean addAll(double nowMs, Collection<Departure> departures) {
        boolean added = false;
        for (Departure departure : departures) {
            added |= recordedAtMs.putIfAbsent(departure, nowMs) == null;
        }
        prune(nowMs);
        return added;
    }

    private void prune(double nowMs) {
        var oldestFirst = recordedAtMs.values().iterator();
        while (oldestFirst.hasNext()
                && (nowMs - oldestFirst.next() > RETENTION_MS || recordedAtMs.size() > MAX_DEPARTURES)) {
            oldestFirst.remove();
        }
    }

    /** All departures, oldest first. */
    public List<Departure> all(double nowMs) {
        prune(nowMs);
        return new ArrayList<>(recordedAtMs.keySet());
    }
}
