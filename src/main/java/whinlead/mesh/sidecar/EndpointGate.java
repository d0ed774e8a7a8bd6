package whinlead.mesh.sidecar;

import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.rpc.RpcCall;

/**
 * What the sidecar knows directly about the endpoint beside it, and whether a request may go to it now. Pure; used by
 * one thread; times in milliseconds on one clock.
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
        if (id.equals(endpoint) && (status.callSeq() <= callSeq || state == State.GONE && callSeq < 0)) {
            return false;
        }
        boolean newEndpoint = !id.equals(endpoint);
        State previousState = state;
        endpoint = id;
        target = status.target();
        capacity = Math.max(1, status.capacity());
        callSeq = status.callSeq();
        lastHeartbeatMs = nowMs;
        warmUntilMs = nowMs + Math.max(0, status.warmupS()) * 1000;
        if ("draining".equals(status.phase())) {
            if (newEndpoint || previousState != State.DRAINING) {
                drainStartMs = nowMs;
            }
            setState(State.DRAINING);
        } else {
            setState(State.SERVING);
        }
        return newEndpoint || state != previousState;
    }

    /** Records that the endpoint has left; true if that is new. */
    public boolean departed(String id) {
        if (!id.equals(endpoint) || state == State.GONE) {
            return false;
        }
        // Late heartbeats of this endpoint are ignored from now on.
        callSeq = Long.MAX_VALUE;
        setState(State.GONE);
        return true;
    }

    /** Called periodically; true if the endpoint has stopped sending heartbeats. */
    public boolean tick(double nowMs) {
        if ((state == State.SERVING || state == State.DRAINING)
                && nowMs - lastHeartbeatMs > heartbeatIntervalMs * MAX_MISSED_HEARTBEATS) {
            setState(State.GONE);
            return true;
        }
        return false;
    }

    private void setState(State next) {
        state = next;
    }

    /** The endpoint's state. */
    public State state() {
        return state;
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
        return state == State.SERVING ? EndpointRecord.Phase.SERVING : EndpointRecord.Phase.DRAINING;
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
                && (state == State.SERVING || state == State.DRAINING && nowMs - drainStartMs < drainAcceptMs);
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
