package whinlead.mesh.sidecar;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import whinlead.engine.Timers;
import whinlead.mesh.keys.GrantCall;
import whinlead.mesh.keys.HeldKeys;
import whinlead.mesh.keys.KeyHolder;
import whinlead.mesh.keys.KeyLease;
import whinlead.mesh.keys.KeyLoadMeter;
import whinlead.mesh.keys.KeyRange;
import whinlead.mesh.keys.KeyReport;
import whinlead.mesh.keys.KeyTerms;
import whinlead.mesh.keys.ReleaseCall;
import whinlead.mesh.log.Event;
import whinlead.mesh.wire.PeerMessage;

/**
 * Manages the keys of the endpoint beside this sidecar if its service is sharded: reports to the control node that
 * grants keys, accepts its leases, and grants the keys to the endpoint. Runs on the loop's thread.
 */
public final class KeyClient {
    /**
     * After this long without a lease the client reports to all control nodes, because another one may grant keys by
     * now.
     */
    private static final double GRANTOR_LOST_MS = 1600;
    /** Minimum interval between two reports with changes. */
    private static final double MIN_REPORT_INTERVAL_MS = 20;
    /** Delay before a failed release is tried again. */
    private static final double RELEASE_RETRY_MS = 200;
    /** Approximate number of parts in which the load of the keys is reported. */
    private static final int LOAD_PARTS = 16;
    /** After this many failed grants in a row the endpoint counts as lost until its next heartbeat. */
    private static final int LOST_AFTER_FAILURES = 2;
    /** From this utilization on, requests may have been rejected. */
    private static final double FULL_UTILIZATION = 0.9;
    /** Reported demand is limited to this multiple of the capacity; more makes no difference. */
    private static final double MAX_DEMAND_MULTIPLE = 4;
    /** Maximum number of control nodes that are reported to. */
    private static final int MAX_CONTROL_NODES = 32;

    /** Sends messages to one control node. */
    public interface Connection {
        /** Whether the connection is up, so that an answer can be expected. */
        boolean isUp();

        /** Sends a message. */
        void send(PeerMessage message);
    }

    private final Timers timers;
    private final EndpointGate gate;
    private final EndpointKeys endpointKeys;
    private final Predicate<String> shardedServices;
    private final BooleanSupplier shuttingDown;
    private final long incarnation;
    private final Map<String, Connection> connections = new LinkedHashMap<>();
    private final KeyHolder keyHolder;
    private KeyLoadMeter loadMeter;
    private String grantor = "";
    private double lastLeaseMs = Double.NEGATIVE_INFINITY;
    private double lastReportMs = Double.NEGATIVE_INFINITY;
    private boolean reportedDraining;
    private String endpointId = "";
    private int loggedRangeCount;
    /** Number of failed grants in a row; the time of the last one follows. */
    private int consecutiveGrantFailures;

    private double lastGrantFailureMs;

    /**
     * Creates a client without control nodes.
     *
     * @param gate knows the endpoint
     * @param endpointKeys grants keys to the endpoint
     * @param shardedServices whether the service of this name is sharded by key
     * @param shuttingDown whether this process is about to end
     * @param maxHoldMs the longest time that the endpoint may be granted keys for at once
     * @param incarnation distinguishes this process from an earlier one at the same address
     */
    public KeyClient(
            Timers timers,
            EndpointGate gate,
            EndpointKeys endpointKeys,
            Predicate<String> shardedServices,
            BooleanSupplier shuttingDown,
            double maxHoldMs,
            long incarnation) {
        this.timers = timers;
        this.gate = gate;
        this.endpointKeys = endpointKeys;
        this.shardedServices = shardedServices;
        this.shuttingDown = shuttingDown;
        this.keyHolder = new KeyHolder(maxHoldMs);
        this.incarnation = incarnation;
    }

    /** Whether the endpoint beside this sidecar runs only requests with keys that it owns. */
    public boolean isSharded() {
        return shardedServices.test(gate.target());
    }

    /** Adds a new connection to a control node. */
    public void connected(String controlNode, Connection connection) {
        if (connections.containsKey(controlNode) || connections.size() < MAX_CONTROL_NODES) {
            connections.put(controlNode, connection);
        }
    }

    /** Removes a control node that is no longer known. */
    public void removed(String controlNode) {
        connections.remove(controlNode);
    }

    /** Records that this control node grants keys from now on. */
    public void grantorChanged(String controlNode) {
        grantor = controlNode;
        if (isActive()) {
            report(timers.nowMs());
        }
    }

    private boolean isActive() {
        return isSharded() && !gate.endpoint().isEmpty() || !keyHolder.isEmpty();
    }

    /** Called periodically, several times a second. */
    public void tick() {
        if (!isActive()) {
            return;
        }
        if (!gate.endpoint().equals(endpointId)) {
            endpointReplaced();
        }
        callEndpoint();
        double nowMs = timers.nowMs();
        boolean draining = isDraining();
        boolean reportDue = nowMs - lastReportMs >= KeyTerms.REPORT_INTERVAL_MS;
        boolean changed = (keyHolder.hasUnreportedChange() || draining != reportedDraining)
                && nowMs - lastReportMs >= MIN_REPORT_INTERVAL_MS;
        if (reportDue || changed) {
            report(nowMs);
        }
    }

    private void endpointReplaced() {
        if (!endpointId.isEmpty()) {
            endpointKeys.clear();
            keyHolder.endpointReplaced();
            consecutiveGrantFailures = 0;
        }
        endpointId = gate.endpoint();
        loadMeter = new KeyLoadMeter(timers.nowMs());
    }

    private boolean isDraining() {
        boolean endpointLost =
                consecutiveGrantFailures >= LOST_AFTER_FAILURES && gate.lastHeartbeatMs() < lastGrantFailureMs;
        return endpointLost || shuttingDown.getAsBoolean() || gate.state() != EndpointGate.State.SERVING;
    }

    private void report(double nowMs) {
        if (!gate.endpoint().equals(endpointId)) {
            endpointReplaced();
        }
        lastReportMs = nowMs;
        reportedDraining = isDraining();
        PeerMessage.KeyLeaseReport message = new PeerMessage.KeyLeaseReport(buildReport(nowMs));
        Connection grantorConnection = connections.get(grantor);
        if (grantorConnection != null && grantorConnection.isUp() && nowMs - lastLeaseMs < GRANTOR_LOST_MS) {
            grantorConnection.send(message);
        } else {
            connections.values().stream().filter(Connection::isUp).forEach(each -> each.send(message));
        }
    }

    private KeyReport buildReport(double nowMs) {
        List<HeldKeys> heldKeys = keyHolder.held(nowMs);
        List<KeyRange> ranges = heldKeys.stream().map(HeldKeys::range).toList();
        logHeld(heldKeys);
        long reportNumber = keyHolder.recordReportSent(nowMs);
        return new KeyReport(
                incarnation,
                reportNumber,
                gate.target(),
                endpointId,
                gate.capacity(),
                reportedDraining,
                busyPlaces(nowMs, ranges),
                heldKeys,
                keyHolder.released(),
                loadMeter.loads(nowMs, ranges, LOAD_PARTS));
    }

    private void logHeld(List<HeldKeys> heldKeys) {
        if ((loggedRangeCount == 0) != heldKeys.isEmpty()) {
            Event.KEY_HOLDING_CHANGED.log(
                    heldKeys.isEmpty()
                            ? "none"
                            : heldKeys.size() + " ranges from "
                                    + heldKeys.get(0).range());
        }
        loggedRangeCount = heldKeys.size();
    }

    // Includes the places that rejected requests would have taken, estimated from how long the served ones stayed.
    private double busyPlaces(double nowMs, List<KeyRange> ranges) {
        double places = gate.utilization() * gate.capacity();
        if (gate.utilization() < FULL_UTILIZATION) {
            return places;
        }
        double requestsPerSecond = ranges.stream()
                .mapToDouble(range -> loadMeter.perSecond(nowMs, range))
                .sum();
        double servedPerSecond = Math.max(gate.perSecond(), 1);
        return Math.max(
                places, Math.min(places * requestsPerSecond / servedPerSecond, MAX_DEMAND_MULTIPLE * gate.capacity()));
    }

    /** Accepts a lease from a control node. */
    public void leaseReceived(String controlNode, KeyLease lease) {
        if (lease.sidecarLife() != incarnation) {
            return;
        }
        double nowMs = timers.nowMs();
        grantor = controlNode;
        lastLeaseMs = nowMs;
        keyHolder.applyLease(nowMs, lease);
        tick();
    }

    private void callEndpoint() {
        double nowMs = timers.nowMs();
        keyHolder.grantsDue(nowMs).forEach(this::grant);
        keyHolder.releasesDue(nowMs).forEach(this::release);
    }

    private void grant(GrantCall call) {
        endpointKeys.grant(call, nowMs -> keyHolder.holdMs(nowMs, call), new EndpointKeys.GrantListener() {
            @Override
            public void granted(double writtenAtMs, double holdMs) {
                consecutiveGrantFailures = 0;
                keyHolder.grantAccepted(writtenAtMs, holdMs, call);
                tick();
            }

            @Override
            public void refused() {
                Event.GRANT_REJECTED.log(call.range() + " fence " + call.fence());
                keyHolder.grantRefused(call);
                tick();
            }

            @Override
            public void failed() {
                consecutiveGrantFailures++;
                lastGrantFailureMs = timers.nowMs();
                keyHolder.grantFailed(call);
            }
        });
    }

    private void release(ReleaseCall call) {
        endpointKeys.release(call, new EndpointKeys.ReleaseListener() {
            @Override
            public void released(String handoff) {
                loadMeter.reset(call.range());
                keyHolder.released(call, handoff);
                tick();
            }

            @Override
            public void failed() {
                timers.schedule(RELEASE_RETRY_MS, () -> keyHolder.releaseFailed(timers.nowMs(), call));
            }
        });
    }

    /** Whether a request with this key may go to the endpoint now; if so, it counts towards the load of the key. */
    public boolean admit(int key) {
        double nowMs = timers.nowMs();
        if (!keyHolder.serves(nowMs, key)) {
            return false;
        }
        loadMeter.count(nowMs, key);
        return true;
    }
}
