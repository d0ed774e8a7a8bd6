package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** A map from keys to values, stored as ranges of keys with the same value. Pure; one thread. */
public final class KeyMap<V> {
    /** A range of keys with one value. */
    public record Entry<V>(KeyRange range, V value) {}

    private record Cell<V>(int lastKey, V value) {}

    private final TreeMap<Integer, Cell<V>> cells = new TreeMap<>();

    /** The value of a key; null if it has none. */
    public V get(int key) {
        Map.Entry<Integer, Cell<V>> cell = cells.floorEntry(key);
        return cell == null || cell.getValue().lastKey() < key
                ? null
                : cell.getValue().value();
    }

    /** Sets the value of these keys. */
    public void put(KeyRange range, V value) {
        remove(range);
        cells.put(range.firstKey(), new Cell<>(range.lastKey(), value));
    }

    /** Removes the values of these keys. */
    public void remove(KeyRange range) {
        splitAt(range.firstKey());
        splitAt(range.lastKey() + 1);
        cells.subMap(range.firstKey(), true, range.lastKey(), true).clear();
    }

    // Splits the range that contains this key, if there is one, so that a range starts at the key.
    private void splitAt(int key) {
        Map.Entry<Integer, Cell<V>> cell = cells.lowerEntry(key);
        if (cell != null && cell.getValue().lastKey() >= key) {
            V value = cell.getValue().value();
            cells.put(cell.getKey(), new Cell<>(key - 1, value));
            cells.put(key, new Cell<>(cell.getValue().lastKey(), value));
        }
    }

    /** Replaces each value of these keys by the function's result; null removes it. */
    public void update(KeyRange range, UnaryOperator<V> change) {
        for (Entry<V> each : overlapping(range)) {
            V value = change.apply(each.value());
            if (value == null) {
                remove(each.range());
            } else if (value != each.value()) {
                put(each.range(), value);
            }
        }
    }

    /** All ranges with values, in order. */
    public List<Entry<V>> entries() {
        List<Entry<V>> entries = new ArrayList<>(cells.size());
        cells.forEach(
                (firstKey, cell) -> entries.add(new Entry<>(new KeyRange(firstKey, cell.lastKey()), cell.value())));
        return entries;
    }

    /** The parts of this range that have values, in order. */
    public List<Entry<V>> overlapping(KeyRange range) {
        List<Entry<V>> entries = new ArrayList<>();
        Integer firstCell = cells.floorKey(range.firstKey());
        cells.subMap(firstCell == null ? range.firstKey() : firstCell, true, range.lastKey(), true)
                .forEach((firstKey, cell) -> {
                    KeyRange cellRange = new KeyRange(firstKey, cell.lastKey());
                    if (cellRange.overlaps(range)) {
                        entries.add(new Entry<>(cellRange.intersection(range), cell.value()));
                    }
                });
        return entries;
    }

    /** The parts of this range that have no value, in order. */
    public List<KeyRange> gaps(KeyRange range) {
        List<KeyRange> gaps = new ArrayList<>();
        int nextKey = range.firstKey();
        for (Entry<V> each : overlapping(range)) {
            if (each.range().firstKey() > nextKey) {
                gaps.add(new KeyRange(nextKey, each.range().firstKey() - 1));
            }
            nextKey = each.range().lastKey() + 1;
        }
        if (nextKey <= range.lastKey()) {
            gaps.add(new KeyRange(nextKey, range.lastKey()));
        }
        return gaps;
    }

    /** Whether no key has a value. */
    public boolean isEmpty() {
        return cells.isEmpty();
    }

    /** Number of ranges. */
    public int size() {
        return cells.size();
    }

    /** Removes all values. */
    public void clear() {
        cells.clear();
    }
}
