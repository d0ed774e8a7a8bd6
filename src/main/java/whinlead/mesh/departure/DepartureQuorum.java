package whinlead.mesh.departure;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import whinlead.mesh.consensus.ConsensusNode;

/**
 * Which departures the voters have told a sidecar that they have on disk. Two majorities share a voter, so what a
 * majority has stored for an earlier process of the sidecar is known once a majority has answered this one. Pure; one
 * thread.
 */
public final class DepartureQuorum {
    /** Maximum number of control nodes whose answers are kept. */
    private static final int MAX_CONTROL_NODES = 64;

    private List<String> voters = List.of();
    /** By control node: the endpoints whose departure it has on disk. */
    private final Map<String, Set<String>> storedBy = new HashMap<>();
    /** Addresses of control nodes of an earlier version, which store no departures and never will. */
    private final Set<String> addressesWithoutStore = new HashSet<>();

    /** Sets the voters, by their ids. */
    public void votersChanged(List<String> newVoters) {
        voters = List.copyOf(newVoters);
        storedBy.keySet().retainAll(voters);
    }

    /** A control node has these departures of this sidecar's endpoints on disk, and no others. */
    public void stored(String controlNode, Collection<String> endpoints) {
        addressesWithoutStore.remove(ConsensusNode.address(controlNode));
        boolean isCounted = voters.isEmpty() || voters.contains(controlNode);
        if (isCounted && (storedBy.containsKey(controlNode) || storedBy.size() < MAX_CONTROL_NODES)) {
            storedBy.put(controlNode, Set.copyOf(endpoints));
        }
    }

    /**
     * The control node at this address runs a version that stores no departures: it counts as one that has stored
     * whatever is asked, since no answer of it will come.
     */
    public void withoutStore(String address) {
        if (addressesWithoutStore.size() < MAX_CONTROL_NODES) {
            addressesWithoutStore.add(address);
        }
    }

    /** Whether the voters are known, so that their answers can make a majority. */
    public boolean knowsVoters() {
        return !voters.isEmpty();
    }

    /** Whether a majority of the voters has answered. */
    public boolean isAnswered() {
        return hasMajority(voters.stream()
                .filter(voter -> hasNoStore(voter) || storedBy.containsKey(voter))
                .count());
    }

    /** Whether a majority of the voters has this endpoint's departure on disk. */
    public boolean isStored(String endpoint) {
        return hasMajority(voters.stream()
                .filter(voter -> hasNoStore(voter)
                        || storedBy.getOrDefault(voter, Set.of()).contains(endpoint))
                .count());
    }

    private boolean hasNoStore(String voter) {
        return addressesWithoutStore.contains(ConsensusNode.address(voter));
    }

    private boolean hasMajority(long count) {
        return !voters.isEmpty() && count > voters.size() / 2;
    }
}
