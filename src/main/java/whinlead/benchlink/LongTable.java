package whinlead.benchlink;

/** A hash table with primitive long keys, which are not boxed: open addressing with backward shift on removal. */
final class LongTable<V> {
    private long[] keys = new long[1024];
    private Object[] values = new Object[1024];
    private int size;

    private int slot(long key) {
        long h = key * 0x9E3779B97F4A7C15L;
        return (int) (h >>> 32) & (keys.length - 1);
    }

    @SuppressWarnings("unchecked")
    V get(long key) {
        for (int i = slot(key); values[i] != null; i = (i + 1) & (keys.length - 1)) {
            if (keys[i] == key) {
                return (V) values[i];
            }
        }
        return null;
    }

    void put(long key, V value) {
        if (size * 2 >= keys.length) {
            grow();
        }
        int i = slot(key);
        while (values[i] != null && keys[i] != key) {
            i = (i + 1) & (keys.length - 1);
        }
        if (values[i] == null) {
            size++;
        }
        keys[i] = key;
        values[i] = value;
    }

    void remove(long key) {
        int mask = keys.length - 1;
        int i = slot(key);
        while (values[i] != null && keys[i] != key) {
            i = (i + 1) & mask;
        }
        if (values[i] == null) {
            return;
        }
        size--;
        int hole = i;
        for (int j = (i + 1) & mask; values[j] != null; j = (j + 1) & mask) {
            if (((j - slot(keys[j])) & mask) >= ((j - hole) & mask)) {
                keys[hole] = keys[j];
                values[hole] = values[j];
                hole = j;
            }
        }
        values[hole] = null;
    }

    int size() {
        return size;
    }

    private void grow() {
        long[] oldKeys = keys;
        Object[] oldValues = values;
        keys = new long[oldKeys.length * 2];
        values = new Object[oldKeys.length * 2];
        size = 0;
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldValues[i] != null) {
                @SuppressWarnings("unchecked")
                V v = (V) oldValues[i];
                put(oldKeys[i], v);
            }
        }
    }
}
