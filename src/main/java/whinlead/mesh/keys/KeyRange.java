package whinlead.mesh.keys;

/** A range of consecutive keys, including both ends. */
public record KeyRange(int firstKey, int lastKey) {
    /** The highest key. */
    public static final int MAX_KEY = 65_535;
    /** All keys. */
    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /** Checks the bounds. */
    public KeyRange {
        if (firstKey < 0 || lastKey < firstKey || lastKey > MAX_KEY) {
            throw new IllegalArgumentException("invalid key range from " + firstKey + " to " + lastKey);
        }
    }

    /** Number of keys. */
    public int size() {
        return lastKey - firstKey + 1;
    }

    /** Whether this range contains the key. */
    public boolean contains(int key) {
        return key >= firstKey && key <= lastKey;
    }

    /** Whether the ranges have a key in common. */
    public boolean overlaps(KeyRange other) {
        return firstKey <= other.lastKey && other.firstKey <= lastKey;
    }

    /** The keys that are in both ranges, which must overlap. */
    public KeyRange intersection(KeyRange other) {
        return new KeyRange(Math.max(firstKey, other.firstKey), Math.min(lastKey, other.lastKey));
    }
}
