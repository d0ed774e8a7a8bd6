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
 * The state with which a control node starts: the state on its disk, or a new identity on a new disk. A new disk makes
 * a new voter, because the promises made on the old one are unknown.
 *
 * @param id the machine's address and a number that distinguishes this disk from earlier ones
 */
record RestoredState(String id, Acceptor.State acceptor) {
    /** Separates the address and the disk's number in an id. */
    private static final String SEPARATOR = "#";
    /** The disk number of the first voters, which found the mesh. */
    private static final String FOUNDING_DISK = "0";

    /**
     * Reads the store, or creates a new identity. A new identity is on disk when this returns, before it is used in any
     * message.
     *
     * @throws StateStoreException if the store can't be used, or is damaged
     */
    static RestoredState load(StateStore store, NodeSettings settings) throws StateStoreException {
        StateStore.Entry entry = store.read();
        return entry == null ? create(store, settings) : new RestoredState(entry.id(), read(entry));
    }

    private static Acceptor.State read(StateStore.Entry entry) throws StateStoreException {
        try {
            return AcceptorRecord.read(entry.state());
        } catch (LaterFormatException e) {
            throw new StateStoreException(e.getMessage() + "; it is left unchanged", e);
        } catch (IOException e) {
            throw new StateStoreException(
                    "the state store's entry is damaged; remove it to join as a new control node", e);
        }
    }

    private static RestoredState create(StateStore store, NodeSettings settings) throws StateStoreException {
        String ip = settings.self().ip();
        List<String> seeds =
                settings.network().seeds().stream().map(ControlPeers::host).toList();
        boolean isFounder = settings.self().bootstrap() && seeds.contains(ip);
        String diskId = isFounder ? FOUNDING_DISK : Long.toHexString(new SecureRandom().nextLong() | 1);
        Decision decided = isFounder ? Decision.founding(foundingVoters(seeds)) : null;
        RestoredState state =
                new RestoredState(ip + SEPARATOR + diskId, new Acceptor.State(decided, Ballot.NONE, null));
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
