package whinlead.plan;

import java.util.Iterator;
import java.util.NoSuchElementException;

/** Arrivals in order of time, computed one ahead. Not thread-safe. */
public abstract class Arrivals implements Iterator<Arrival> {
    private Arrival nextArrival;
    private boolean started;

    /** Returns the next arrival, or null at the end and on every later call. */
    protected abstract Arrival findNext();

    @Override
    public final boolean hasNext() {
        if (!started) {
            started = true;
            nextArrival = findNext();
        }
        return nextArrival != null;
    }

    @Override
    public final Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException();
        }
        Arrival arrival = nextArrival;
        nextArrival = findNext();
        return arrival;
    }
}
