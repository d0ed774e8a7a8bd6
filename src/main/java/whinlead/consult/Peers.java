package whinlead.consult;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The callers of one front, by what tells them apart, an address say. One that left with requests open keeps its place
 * until it has none, or it could open as many again by coming back.
 *
 * @param <K> what tells them apart
 */
public final class Peers<K> {
    private final Map<K, Peer> peers = new HashMap<>();
    private final Map<K, Integer> connections = new HashMap<>();
    private final Function<String, Peer> make;

    /** No callers yet; {@code make} makes a new one by its name. */
    public Peers(Function<String, Peer> make) {
        this.make = make;
    }

    /** A connection of this caller has come. */
    public Peer joined(K key) {
        connections.merge(key, 1, Integer::sum);
        return peers.computeIfAbsent(key, k -> make.apply(k.toString()));
    }

    /** One has gone. */
    public void left(K key) {
        if (connections.merge(key, -1, Integer::sum) == 0) {
            connections.remove(key);
            peers.entrySet()
                    .removeIf(e ->
                            !connections.containsKey(e.getKey()) && e.getValue().open() == 0);
        }
    }
}
