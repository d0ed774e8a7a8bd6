package whinlead.consult;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The callers of one front by a key, such as an address. A caller that disconnects with open requests is retained until
 * none is open; otherwise it could exceed its bound by reconnecting.
 *
 * @param <K> the key that identifies a caller
 */
public final class Peers<K> {
    private final Map<K, Peer> peers = new HashMap<>();
    private final Map<K, Integer> connections = new HashMap<>();
    private final Function<String, Peer> factory;

    /** Creates an instance without callers; {@code factory} creates a caller by its name. */
    public Peers(Function<String, Peer> factory) {
        this.factory = factory;
    }

    /** Records a new connection of this caller. */
    public Peer connected(K key) {
        connections.merge(key, 1, Integer::sum);
        return peers.computeIfAbsent(key, k -> factory.apply(k.toString()));
    }

    /** Records the end of a connection of this caller. */
    public void disconnected(K key) {
        if (connections.merge(key, -1, Integer::sum) == 0) {
            connections.remove(key);
            peers.entrySet()
                    .removeIf(e ->
                            !connections.containsKey(e.getKey()) && e.getValue().open() == 0);
        }
    }
}
