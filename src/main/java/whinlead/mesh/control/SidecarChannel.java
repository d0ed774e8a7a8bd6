package whinlead.mesh.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.quota.DemandTotals;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;

/**
 * Sends sidecars newer configurations, the records of other sidecars' endpoints, and the total demand of tenants, on
 * the connections that sidecars and other control nodes have opened. On the loop's thread.
 */
final class SidecarChannel {
    /** Occurs in the ids of control nodes but not in those of sidecars. */
    private static final char CONTROL_NODE_MARK = '#';

    private final DoubleSupplier clockMs;
    private final Supplier<Decision> decided;
    private final BooleanSupplier confirmed;
    private final ControlPeers peers;
    private final EndpointRegistry registry = new EndpointRegistry();
    private final SidecarContact contact = new SidecarContact();
    private final DemandTotals demand = new DemandTotals();
    /** The slot that each subscriber has; null for a connection that has not subscribed. */
    private final Map<PeerConnection, Long> connections = new LinkedHashMap<>();
    /** Subscribers that were sent a configuration that no quorum had confirmed. */
    private final Set<PeerConnection> unconfirmed = new HashSet<>();

    /**
     * A channel without connections.
     *
     * @param clockMs steady, in milliseconds
     * @param decided the newest decision, or null
     * @param confirmed whether a quorum has recently confirmed that there is no newer one
     */
    SidecarChannel(DoubleSupplier clockMs, Supplier<Decision> decided, BooleanSupplier confirmed, ControlPeers peers) {
        this.clockMs = clockMs;
        this.decided = decided;
        this.confirmed = confirmed;
        this.peers = peers;
    }

    /** A process has connected. */
    void opened(PeerConnection connection) {
        connections.put(connection, null);
    }

    /** A connection has ended. */
    void closed(PeerConnection connection) {
        connections.remove(connection);
        unconfirmed.remove(connection);
    }

    /** A sidecar has this slot's configuration and subscribes to newer ones and to endpoints. */
    void subscribe(PeerConnection connection, long slot) {
        connections.put(connection, slot);
        announce(connection, slot);
    }

    /** Announces to all subscribers with an older configuration that a newer one can be fetched. */
    void announceDecision() {
        connections.forEach(this::announce);
    }

    private void announce(PeerConnection connection, Long subscriberSlot) {
        Decision newest = decided.get();
        if (subscriberSlot != null && newest != null && newest.version() > 0 && newest.slot() > subscriberSlot) {
            connection.send(new PeerMessage.ConfigAvailable(newest.slot()));
        }
    }

    /** Sends the newest configuration, which must exist; returns false if no quorum has confirmed it. */
    boolean sendConfig(PeerConnection connection) {
        boolean isConfirmed = confirmed.getAsBoolean();
        if (!isConfirmed) {
            unconfirmed.add(connection);
        }
        connection.send(new PeerMessage.ConfigUpdate(decided.get().forSidecars(), isConfirmed));
        return isConfirmed;
    }

    /** Whether a subscriber waits for its configuration to be confirmed. */
    boolean hasUnconfirmed() {
        return !unconfirmed.isEmpty();
    }

    /** Sends the configuration again once it is confirmed: a starting sidecar waits for a confirmed one. */
    void sendConfirmed() {
        if (!unconfirmed.isEmpty() && confirmed.getAsBoolean()) {
            List<PeerConnection> waiting = List.copyOf(unconfirmed);
            unconfirmed.clear();
            waiting.forEach(this::sendConfig);
        }
    }

    /** All known records, as a message. */
    PeerMessage.EndpointUpdate allRecords() {
        return new PeerMessage.EndpointUpdate(List.copyOf(registry.all()));
    }

    /** Merges records and propagates the new ones. */
    void merge(PeerConnection from, List<EndpointRecord> records) {
        List<EndpointRecord> changed = new ArrayList<>();
        boolean fromSidecar = from.peer().indexOf(CONTROL_NODE_MARK) < 0;
        for (EndpointRecord endpointRecord : records) {
            if (registry.merge(endpointRecord)) {
                changed.add(endpointRecord);
            }
            // Only for records that were stored: the contact tables grow with what peers send, and the registry is
            // bounded.
            if (registry.find(endpointRecord.node()) != null && endpointRecord.phase() != EndpointRecord.Phase.GONE) {
                contact.noteContact(clockMs.getAsDouble(), endpointRecord.node(), fromSidecar);
            }
        }
        propagate(from, changed);
    }

    /**
     * Marks silent sidecars as gone, and notifies the other control nodes which sidecars this one is in contact with,
     * so that a control node without connections to sidecars does not mark them as gone. Must be called at each
     * {@link SidecarContact#SHARE_INTERVAL_MS}.
     */
    void shareContact() {
        List<EndpointRecord> silent = contact.silentSidecars(clockMs.getAsDouble(), registry);
        silent.forEach(registry::merge);
        propagate(null, silent);
        List<EndpointRecord> recent = contact.recentDirectContacts(clockMs.getAsDouble(), registry);
        if (!recent.isEmpty()) {
            peers.broadcast(new PeerMessage.EndpointUpdate(recent));
        }
    }

    private void propagate(PeerConnection from, List<EndpointRecord> records) {
        if (records.isEmpty()) {
            return;
        }
        PeerMessage.EndpointUpdate update = new PeerMessage.EndpointUpdate(records);
        byte[] encoded = PeerMessageCodec.write(update);
        connections.forEach((connection, slot) -> {
            if (connection != from && slot != null) {
                connection.send(encoded);
            }
        });
        peers.broadcast(update);
    }

    /** A sidecar of an earlier version reports its demand; it is sent the totals if it asks for them. */
    void report(PeerConnection connection, PeerMessage.DemandReport report) {
        demand.report(clockMs.getAsDouble(), connection.peer(), report.demands());
        if (report.wantsTotals()) {
            connection.send(
                    new PeerMessage.DemandSums(demand.reportingSidecars(), demand.totalsFor(connection.peer())));
        }
    }
}
