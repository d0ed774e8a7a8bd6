package whinlead.mesh.sidecar;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.rpc.RpcCall;

/**
 * What the sidecar knows directly about the endpoint beside it, and whether a request may go to it now. Pure; used by
 * one thread; times in milliseconds on one clock.
 *
 * <p>An endpoint that has announced its departure never counts as serving again: heartbeats may arrive late, and out of
 * order. Earlier processes of this sidecar may have acknowledged departures, so no endpoint counts as serving before
 * these are known ({@link #departuresComplete}).
 */
public final class EndpointGate {
    /** The endpoint's state. */
    public enum State {
        /** No heartbeat has been received yet. */
        UNKNOWN,
        /** It sends heartbeats and serves requests. */
        SERVING,
        /** It has announced that it is leaving. */
        DRAINING,
        /** It has left, or its heartbeats have stopped. */
        GONE
    }

    /** Maximum number of departures that are remembered; the oldest is dropped first. */
    private static final int MAX_DEPARTURES = 64;
    /** After this many missed heartbeats an endpoint counts as gone. */
    private static final double MAX_MISSED_HEARTBEATS = 3.5;
    /** How long a draining endpoint still accepts requests, from callers that have not been notified yet. */
    private static final double DRAIN_ACCEPT_MS = 400;
    /** Size of the endpoint's queue as a fraction of its capacity, by rank; 0 is the highest rank. */
    private static final double[] QUEUE_SHARE = {1.0, 0.7, 0.4};
    /**
     * The same while requests of the highest rank arrive: the endpoint serves in order of arrival, so requests of lower
     * ranks in its queue would delay the highest.
     */
    private static final double[] QUEUE_SHARE_BEHIND_TOP_RANK = {1.0, 0.1, 0};
    /** Requests of the highest rank count as arriving from this rate on, per second. */
    private static final double TOP_RANK_MIN_PER_SECOND = 0.5;
    /** Time constant over which that rate is averaged, in milliseconds. */
    private static final double TOP_RANK_DECAY_MS = 3000;
    /** Half-life of the reported load figures, in milliseconds. */
    private static final double LOAD_HALF_LIFE_MS = 500;

    private final double heartbeatIntervalMs;
    /** Ids of endpoints that have announced their departure, oldest first. */
    private final Set<String> departing = new LinkedHashSet<>();
    /** Whether the departures that earlier processes of this sidecar have acknowledged are known. */
    private boolean departuresComplete;

    private State state = State.UNKNOWN;
    private String endpoint = "";
    private String target = "";
    private int capacity = 1;
    private double warmUntilMs;
    private long callSeq = -1;
    private double lastHeartbeatMs;
    private double drainStartMs;
    private int inFlight;
    private double utilization;
    private double perSecond;
    private double loadUpdatedMs;
    private double topRankPerSecond;
    private double topRankUpdatedMs;

    /** Creates a gate for an endpoint that sends a heartbeat once per {@code heartbeatIntervalMs}. */
    public EndpointGate(double heartbeatIntervalMs) {
        this.heartbeatIntervalMs = heartbeatIntervalMs;
    }

    /** Records a heartbeat; true if it changes what other nodes need to know. */
    public boolean heartbeat(double nowMs, String id, RpcCall.EndpointStatus status) {
        boolean newEndpoint = !id.equals(endpoint);
        if (hasLeft(id) || !newEndpoint && status.callSeq() <= callSeq) {
            return false;
        }
        State previousState = state;
        endpoint = id;
        target = status.target();
        capacity = Math.max(1, status.capacity());
        callSeq = status.callSeq();
        lastHeartbeatMs = nowMs;
        warmUntilMs = nowMs + Math.max(0, status.warmupS()) * 1000;
        if (status.isDraining()) {
            startDraining(nowMs, id, !newEndpoint && state() == State.SERVING);
        }
        state = departing.contains(id) ? State.DRAINING : State.SERVING;
        return departuresComplete && (newEndpoint || state != previousState);
    }

    // Only an endpoint that served until now still accepts requests: another one may have been draining for long.
    private void startDraining(double nowMs, String id, boolean wasServing) {
        if (departing.add(id)) {
            drainStartMs = wasServing ? nowMs : Double.NEGATIVE_INFINITY;
            dropOldestDepartures();
        }
    }

    /** Whether this endpoint has left, so that its heartbeats are ignored. */
    public boolean hasLeft(String id) {
        return departing.contains(id) && !(id.equals(endpoint) && state == State.DRAINING);
    }

    /** Records that the endpoint has left; true if that changes what other nodes need to know. */
    public boolean departed(String id) {
        departing.add(id);
        dropOldestDepartures();
        if (!id.equals(endpoint) || state == State.GONE) {
            return false;
        }
        state = State.GONE;
        return departuresComplete;
    }

    /**
     * Records departures that an earlier process of this sidecar has acknowledged; true if that changes what other
     * nodes need to know.
     */
    public boolean departuresLearned(Collection<String> ids) {
        boolean isNew = !departing.contains(endpoint) && ids.contains(endpoint);
        departing.addAll(ids);
        dropOldestDepartures();
        if (isNew) {
            state = State.GONE;
        }
        return isNew && departuresComplete;
    }

    /** All departures acknowledged by earlier processes have been recorded; true if an endpoint is known. */
    public boolean departuresComplete() {
        departuresComplete = true;
        return state != State.UNKNOWN;
    }

    /**
     * Departures acknowledged by earlier processes can't be learned, but heartbeats that arrive from now on were sent
     * after them; true if that changes what other nodes need to know.
     */
    public boolean departuresOutdated() {
        departuresComplete = true;
        if (state != State.SERVING) {
            return state != State.UNKNOWN;
        }
        // The heartbeats so far may have been sent before a departure.
        state = State.UNKNOWN;
        return false;
    }

    private void dropOldestDepartures() {
        while (departing.size() > MAX_DEPARTURES) {
            departing.remove(departing.iterator().next());
        }
    }

    /** Called periodically; true if the endpoint has stopped sending heartbeats. */
    public boolean tick(double nowMs) {
        if ((state == State.SERVING || state == State.DRAINING)
                && nowMs - lastHeartbeatMs > heartbeatIntervalMs * MAX_MISSED_HEARTBEATS) {
            state = State.GONE;
            return departuresComplete;
        }
        return false;
    }

    /** The endpoint's state; it is not {@link State#SERVING} before departures are known. */
    public State state() {
        return state == State.SERVING && !departuresComplete ? State.UNKNOWN : state;
    }

    /** The endpoint's id; empty if none is known. */
    public String endpoint() {
        return endpoint;
    }

    /** The endpoint's service. */
    public String target() {
        return target;
    }

    /** The phase that is published to other nodes. */
    public EndpointRecord.Phase phase() {
        return state() == State.SERVING ? EndpointRecord.Phase.SERVING : EndpointRecord.Phase.DRAINING;
    }

    /** Time of the last heartbeat. */
    public double lastHeartbeatMs() {
        return lastHeartbeatMs;
    }

    /** How many requests the endpoint works on at a time. */
    public int capacity() {
        return capacity;
    }

    /** Remaining warm-up time, in milliseconds. */
    public int remainingWarmupMs(double nowMs) {
        return (int) Math.max(0, warmUntilMs - nowMs);
    }

    /** Whether the endpoint accepts a request, and if not, why. */
    public enum Admission {
        OPEN,
        FULL,
        MOVED,
        /** The endpoint does not own the request's key. */
        NOT_OWNER
    }

    /** Whether a request for this service and of this rank may go to the endpoint now. */
    public Admission admit(double nowMs, String service, int rank) {
        return admit(nowMs, service, rank, DRAIN_ACCEPT_MS);
    }

    /**
     * Whether a request for this service and of this rank may go to the endpoint now.
     *
     * @param drainAcceptMs how long a draining endpoint still accepts requests
     */
    public Admission admit(double nowMs, String service, int rank, double drainAcceptMs) {
        boolean accepting = service.equals(target)
                && (state() == State.SERVING || state == State.DRAINING && nowMs - drainStartMs < drainAcceptMs);
        if (!accepting) {
            return Admission.MOVED;
        }
        double decayedTopRank = this.topRankPerSecond * Math.exp(-(nowMs - topRankUpdatedMs) / TOP_RANK_DECAY_MS);
        if (rank <= 0) {
            this.topRankPerSecond = decayedTopRank + 1000 / TOP_RANK_DECAY_MS;
            topRankUpdatedMs = nowMs;
        }
        double[] queueShares = decayedTopRank > TOP_RANK_MIN_PER_SECOND ? QUEUE_SHARE_BEHIND_TOP_RANK : QUEUE_SHARE;
        double queueShare = queueShares[Math.min(queueShares.length - 1, Math.max(0, rank))];
        return inFlight < capacity * (1 + queueShare) ? Admission.OPEN : Admission.FULL;
    }

    /** Records that a request is sent to the endpoint. */
    public void requestStarted(double nowMs) {
        updateLoad(nowMs, 0);
        inFlight++;
    }

    /** Records that a request has ended at the endpoint. */
    public void requestEnded(double nowMs, boolean answered) {
        updateLoad(nowMs, answered ? 1 : 0);
        inFlight--;
    }

    private void updateLoad(double nowMs, int answers) {
        double retained = Math.pow(0.5, Math.max(0, nowMs - loadUpdatedMs) / LOAD_HALF_LIFE_MS);
        utilization = utilization * retained + (1 - retained) * inFlight / capacity;
        perSecond = perSecond * retained + answers * 1000 * Math.log(2) / LOAD_HALF_LIFE_MS;
        loadUpdatedMs = nowMs;
    }

    /** Number of requests at the endpoint. */
    public int inFlight() {
        return inFlight;
    }

    /** Recent number of requests at the endpoint divided by its capacity; over 1 if requests queue. */
    public double utilization() {
        return utilization;
    }

    /** Recent number of responses per second. */
    public double perSecond() {
        return perSecond;
    }
}
