package whinlead.mesh.keys;

/** Keys that follow each other, both ends included. */
public record KeyRange(int from, int to) {
    /** The highest key. */
    public static final int MAX_KEY = 65_535;
    /** All keys. */
    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /** Checks the ends. */
    public KeyRange {
        if (from < 0 || to < from || to > MAX_KEY) {
            throw new IllegalArgumentException("keys from " + from + " to " + to);
        }
    }

    /** How many keys. */
    public int size() {
        return to - from + 1;
    }

    /** Whether this key is one of them. */
    public boolean contains(int key) {
        return key >= from && key <= to;
    }

    /** Whether some key is in both. */
    public boolean overlaps(KeyRange other) {
        return from <= other.to && other.from <= to;
    }

    /** The keys that are in both, of which there must be one. */
    public KeyRange intersection(KeyRange other) {
        return new KeyRange(Math.max(from, other.from), Math.min(to, other.to));
    }
}
