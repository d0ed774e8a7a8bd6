package whinlead.mesh.keys;

/** A range of consecutive keys, including both ends. */
public record KeyRange(int from, int to) {
    /** The highest key. */
    public static final int MAX_KEY = 65_535;
    /** All keys. */
    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /** Checks the bounds. */
    public KeyRange {
        if (from < 0 || to < from || to > MAX_KEY) {
            throw new IllegalArgumentException("invalid key range from " + from + " to " + to);
        }
    }

    /** Number of keys. */
    public int size() {
        return to - from + 1;
    }

    /** Whether this range contains the key. */
    public boolean contains(int key) {
        return key >= from && key <= to;
    }

    /** Whether the ranges have a key in common. */
    public boolean overlaps(KeyRange other) {
        return from <= other.to && other.from <= to;
    }

    /** The keys that are in both ranges, which must overlap. */
    public KeyRange intersection(KeyRange other) {
        return new KeyRange(Math.max(from, other.from), Math.min(to, other.to));
    }
}
