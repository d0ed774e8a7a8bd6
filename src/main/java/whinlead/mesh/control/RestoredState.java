package whinlead.mesh.control;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.storage.StateStore;
import whinlead.mesh.storage.StateStoreException;
import whinlead.mesh.wire.AcceptorRecord;
import whinlead.mesh.wire.LaterFormatException;

/**
 * What a control node starts from: what its disk holds, or on a new disk a new identity. A new disk is a new voter, for
 * what the old one may have promised, this one can't know.
 *
 * @param id the machine's address and what tells this disk from others that were there
 */
record RestoredState(String id, Acceptor.State acceptor) {
    /** Stands between the address and the disk's number in an id. */
    private static final String SEPARATOR = "#";
    /** The number of the disks with which the first voters founded the mesh. */
    private static final String FOUNDING_DISK = "0";

    /**
     * Reads the store, or begins a new one. What is begun is on disk when this returns, before anything is said under
     * the new id.
     *
     * @throws StateStoreException if the store can't be used, or is damaged
     */
    static RestoredState load(StateStore store, NodeSettings settings) throws StateStoreException {
        StateStore.Entry entry = store.read();
        return entry == null ? begin(store, settings) : new RestoredState(entry.id(), read(entry));
    }

    private static Acceptor.State read(StateStore.Entry entry) throws StateStoreException {
        try {
            return AcceptorRecord.read(entry.memory());
        } catch (LaterFormatException e) {
            throw new StateStoreException(e.getMessage() + "; it is left as it was", e);
        } catch (IOException e) {
            throw new StateStoreException(
                    "the state store's entry is damaged; remove it to join as a new control node", e);
        }
    }

    private static RestoredState begin(StateStore store, NodeSettings settings) throws StateStoreException {
        String ip = settings.self().ip();
        List<String> seeds =
                settings.network().seeds().stream().map(ControlPeers::host).toList();
        boolean founds = settings.self().bootstrap() && seeds.contains(ip);
        String disk = founds ? FOUNDING_DISK : Long.toHexString(new SecureRandom().nextLong() | 1);
        Decision decided = founds ? Decision.founding(foundingVoters(seeds)) : null;
        RestoredState state = new RestoredState(ip + SEPARATOR + disk, new Acceptor.State(decided, Ballot.NONE, null));
        store.write(state.id(), AcceptorRecord.write(state.acceptor()));
        return state;
    }

    private static List<String> foundingVoters(List<String> seeds) {
        return seeds.stream()
                .map(seed -> seed + SEPARATOR + FOUNDING_DISK)
                .sorted()
                .toList();
    }
}
