package whinlead.plan;

import java.util.Iterator;
import java.util.NoSuchElementException;

/** Arrivals by time, found one ahead. For one thread. */
public abstract class Arrivals implements Iterator<Arrival> {
    private Arrival ahead;
    private boolean begun;

    /** The next one; null, from then on too, if there is none. */
    protected abstract Arrival find();

    @Override
    public final boolean hasNext() {
        if (!begun) {
            begun = true;
            ahead = find();
        }
        return ahead != null;
    }

    @Override
    public final Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException();
        }
        Arrival a = ahead;
        ahead = find();
        return a;
    }
}
