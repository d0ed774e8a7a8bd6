package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** Values by key, kept as ranges of keys with the same value. Pure; one thread. */
public final class KeyMap<V> {
    /** Keys with one value. */
    public record Entry<V>(KeyRange range, V value) {}

    private record Cell<V>(int to, V value) {}

    private final TreeMap<Integer, Cell<V>> cells = new TreeMap<>();

    /** The value of a key; null if it has none. */
    public V get(int key) {
        Map.Entry<Integer, Cell<V>> cell = cells.floorEntry(key);
        return cell == null || cell.getValue().to() < key
                ? null
                : cell.getValue().value();
    }

    /** Gives these keys a value in place of those that they have. */
    public void put(KeyRange range, V value) {
        remove(range);
        cells.put(range.from(), new Cell<>(range.to(), value));
    }

    /** Takes the values of these keys away. */
    public void remove(KeyRange range) {
        splitAt(range.from());
        splitAt(range.to() + 1);
        cells.subMap(range.from(), true, range.to(), true).clear();
    }

    // So that a cell begins here, if one has this key.
    private void splitAt(int key) {
        Map.Entry<Integer, Cell<V>> cell = cells.lowerEntry(key);
        if (cell != null && cell.getValue().to() >= key) {
            V value = cell.getValue().value();
            cells.put(cell.getKey(), new Cell<>(key - 1, value));
            cells.put(key, new Cell<>(cell.getValue().to(), value));
        }
    }

    /** Gives each value within these keys another one; null takes it away. */
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

    /** All keys with values, in order. */
    public List<Entry<V>> entries() {
        List<Entry<V>> entries = new ArrayList<>(cells.size());
        cells.forEach((from, cell) -> entries.add(new Entry<>(new KeyRange(from, cell.to()), cell.value())));
        return entries;
    }

    /** Those of these keys that have values, in order. */
    public List<Entry<V>> overlapping(KeyRange range) {
        List<Entry<V>> entries = new ArrayList<>();
        Integer first = cells.floorKey(range.from());
        cells.subMap(first == null ? range.from() : first, true, range.to(), true)
                .forEach((from, cell) -> {
                    KeyRange whole = new KeyRange(from, cell.to());
                    if (whole.overlaps(range)) {
                        entries.add(new Entry<>(whole.intersection(range), cell.value()));
                    }
                });
        return entries;
    }

    /** Those of these keys that have no value, in order. */
    public List<KeyRange> gaps(KeyRange range) {
        List<KeyRange> gaps = new ArrayList<>();
        int next = range.from();
        for (Entry<V> each : overlapping(range)) {
            if (each.range().from() > next) {
                gaps.add(new KeyRange(next, each.range().from() - 1));
            }
            next = each.range().to() + 1;
        }
        if (next <= range.to()) {
            gaps.add(new KeyRange(next, range.to()));
        }
        return gaps;
    }

    /** Whether no key has a value. */
    public boolean isEmpty() {
        return cells.isEmpty();
    }

    /** How many ranges there are. */
    public int size() {
        return cells.size();
    }

    /** Takes all values away. */
    public void clear() {
        cells.clear();
    }
}
