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
 * The keys of the endpoint beside this sidecar, where its service is divided: reports to the control node that grants
 * keys, takes its leases, and grants the keys on to the endpoint. On the loop's thread.
 */
public final class KeyClient {
    /** Without a lease for so long all control nodes are reported to, for another may grant keys by now. */
    private static final double LOST_MS = 1600;
    /** Between two reports with news. */
    private static final double NEWS_MS = 20;
    /** After a release came to nothing, the next one. */
    private static final double RETRY_MS = 200;
    /** The load of the keys is told in about so many parts. */
    private static final int LOAD_PARTS = 16;
    /** From so many grants in a row that came to nothing on, the endpoint counts as lost until it is heard of again. */
    private static final int LOST_AFTER_FAILURES = 2;
    /** From this part of its places taken on, requests may have been turned away. */
    private static final double FULL_PART = 0.9;
    /** Demand beyond so many times the capacity makes no difference. */
    private static final double MAX_BUSY = 4;
    /** Control nodes that are reported to at most. */
    private static final int MAX_CONTROL_NODES = 32;

    /** Sends messages to one control node. */
    public interface Connection {
        /** Whether a message may be sent with hope of an answer. */
        boolean isUp();

        /** Sends a message. */
        void send(PeerMessage message);
    }

    private final Timers timers;
    private final EndpointGate gate;
    private final EndpointKeys endpointKeys;
    private final Predicate<String> divided;
    private final BooleanSupplier leaving;
    private final long life;
    private final Map<String, Connection> connections = new LinkedHashMap<>();
    private final KeyHolder holder;
    private KeyLoadMeter meter;
    private String grantor = "";
    private double leasedAt = Double.NEGATIVE_INFINITY;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private boolean wasLeaving;
    private String endpoint = "";
    private int heldRanges;
    /** Grants in a row that came to nothing, and when the last one did. */
    private int failures;

    private double failedAt;

    /**
     * A client without control nodes.
     *
     * @param gate knows the endpoint
     * @param endpointKeys grants keys to it
     * @param divided whether the service of this name is divided by key
     * @param leaving whether this process is about to end
     * @param maxHoldMs the endpoint may be granted keys for so long at a time, at most
     * @param life tells this process from an earlier one at the same address
     */
    public KeyClient(
            Timers timers,
            EndpointGate gate,
            EndpointKeys endpointKeys,
            Predicate<String> divided,
            BooleanSupplier leaving,
            double maxHoldMs,
            long life) {
        this.timers = timers;
        this.gate = gate;
        this.endpointKeys = endpointKeys;
        this.divided = divided;
        this.leaving = leaving;
        this.holder = new KeyHolder(maxHoldMs);
        this.life = life;
    }

    /** Whether the endpoint beside this sidecar runs requests of the keys that it holds only. */
    public boolean isDivided() {
        return divided.test(gate.target());
    }

    /** A new connection to a control node is up. */
    public void connected(String controlNode, Connection connection) {
        if (connections.containsKey(controlNode) || connections.size() < MAX_CONTROL_NODES) {
            connections.put(controlNode, connection);
        }
    }

    /** A control node is not known any more. */
    public void removed(String controlNode) {
        connections.remove(controlNode);
    }

    /** A control node grants keys from now on. */
    public void grantorChanged(String controlNode) {
        grantor = controlNode;
        if (isActive()) {
            report(timers.now());
        }
    }

    private boolean isActive() {
        return isDivided() && !gate.endpoint().isEmpty() || !holder.isEmpty();
    }

    /** Time passes. To be called several times a second. */
    public void tick() {
        if (!isActive()) {
            return;
        }
        if (!gate.endpoint().equals(endpoint)) {
            endpointReplaced();
        }
        callEndpoint();
        double now = timers.now();
        boolean leavesNow = isLeaving();
        boolean due = now - reportedAt >= KeyTerms.REPORT_MS;
        boolean news = (holder.hasNews() || leavesNow != wasLeaving) && now - reportedAt >= NEWS_MS;
        if (due || news) {
            report(now);
        }
    }

    private void endpointReplaced() {
        if (!endpoint.isEmpty()) {
            endpointKeys.clear();
            holder.endpointReplaced();
            failures = 0;
        }
        endpoint = gate.endpoint();
        meter = new KeyLoadMeter(timers.now());
    }

    private boolean isLeaving() {
        boolean lost = failures >= LOST_AFTER_FAILURES && gate.heardAt() < failedAt;
        return lost || leaving.getAsBoolean() || gate.state() != EndpointGate.State.SERVING;
    }

    private void report(double now) {
        if (!gate.endpoint().equals(endpoint)) {
            endpointReplaced();
        }
        reportedAt = now;
        wasLeaving = isLeaving();
        PeerMessage.KeyLeaseReport message = new PeerMessage.KeyLeaseReport(compose(now));
        Connection known = connections.get(grantor);
        if (known != null && known.isUp() && now - leasedAt < LOST_MS) {
            known.send(message);
        } else {
            connections.values().stream().filter(Connection::isUp).forEach(each -> each.send(message));
        }
    }

    private KeyReport compose(double now) {
        List<HeldKeys> held = holder.held(now);
        List<KeyRange> ranges = held.stream().map(HeldKeys::range).toList();
        logHeld(held);
        long number = holder.reportSent(now);
        return new KeyReport(
                life,
                number,
                gate.target(),
                endpoint,
                gate.capacity(),
                wasLeaving,
                busyPlaces(now, ranges),
                held,
                holder.released(),
                meter.loads(now, ranges, LOAD_PARTS));
    }

    private void logHeld(List<HeldKeys> held) {
        if ((heldRanges == 0) != held.isEmpty()) {
            Event.KEYS_HELD.log(
                    held.isEmpty()
                            ? "none"
                            : held.size() + " ranges from " + held.get(0).range());
        }
        heldRanges = held.size();
    }

    // Also those that requests would take which were turned away, by how long the others stayed.
    private double busyPlaces(double now, List<KeyRange> ranges) {
        double places = gate.utilization() * gate.capacity();
        if (gate.utilization() < FULL_PART) {
            return places;
        }
        double asked = ranges.stream()
                .mapToDouble(range -> meter.perSecond(now, range))
                .sum();
        double served = Math.max(gate.perSecond(), 1);
        return Math.max(places, Math.min(places * asked / served, MAX_BUSY * gate.capacity()));
    }

    /** A control node leases keys. */
    public void leased(String controlNode, KeyLease lease) {
        if (lease.sidecarLife() != life) {
            return;
        }
        double now = timers.now();
        grantor = controlNode;
        leasedAt = now;
        holder.leased(now, lease);
        tick();
    }

    private void callEndpoint() {
        double now = timers.now();
        holder.grantsDue(now).forEach(this::grant);
        holder.releasesDue(now).forEach(this::release);
    }

    private void grant(GrantCall call) {
        endpointKeys.grant(call, now -> holder.holdMs(now, call), new EndpointKeys.GrantListener() {
            @Override
            public void granted(double writtenAt, double holdMs) {
                failures = 0;
                holder.granted(writtenAt, holdMs, call);
                tick();
            }

            @Override
            public void refused() {
                Event.GRANT_REFUSED.log(call.range() + " fence " + call.fence());
                holder.refused(call);
                tick();
            }

            @Override
            public void failed() {
                failures++;
                failedAt = timers.now();
                holder.notGranted(call);
            }
        });
    }

    private void release(ReleaseCall call) {
        endpointKeys.release(call, new EndpointKeys.ReleaseListener() {
            @Override
            public void released(String handoff) {
                meter.forget(call.range());
                holder.released(call, handoff);
                tick();
            }

            @Override
            public void failed() {
                timers.after(RETRY_MS, () -> holder.notReleased(timers.now(), call));
            }
        });
    }

    /** Whether a request of this key may go to the endpoint now; it counts as load of the key. */
    public boolean admit(int key) {
        double now = timers.now();
        if (!holder.serves(now, key)) {
            return false;
        }
        meter.count(now, key);
        return true;
    }
}
