package whinlead.mesh.sidecar;

import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.rpc.RpcCall;

/**
 * What the sidecar knows first hand of the endpoint beside it, and whether a request may go to it now. Pure; one
 * thread; times in milliseconds on one clock.
 */
public final class EndpointGate {
    /** Where the endpoint stands. */
    public enum State {
        /** No heartbeat has come yet. */
        UNKNOWN,
        /** It sends heartbeats and serves. */
        SERVING,
        /** It has said that it leaves. */
        DRAINING,
        /** It has left, or is silent. */
        GONE
    }

    /** Heartbeats that may be missing before it counts as gone. */
    private static final double BEATS_MISSING = 3.5;
    /** How long callers that have not heard yet may still send to one that drains. */
    private static final double LAST_CALLS_MS = 400;
    /** What the endpoint may hold beyond what it works on, as a part of that: by rank, 0 the highest. */
    private static final double[] QUEUE = {1.0, 0.7, 0.4};
    /**
     * Where requests of the highest rank come, the others get no place in the endpoint's queue but this, by rank: it
     * serves in the order of arrival, and the highest would wait behind them.
     */
    private static final double[] QUEUE_BEHIND = {1.0, 0.1, 0};
    /** From this many a second on, requests of the highest rank come. */
    private static final double HIGHEST_COME = 0.5;
    /** The time over which they are counted, in milliseconds. */
    private static final double HIGHEST_MS = 3000;
    /** Half-life of what is told of its load. */
    private static final double LOAD_MS = 500;

    private final double beatMs;
    private State state = State.UNKNOWN;
    private String endpoint = "";
    private String target = "";
    private int capacity = 1;
    private double warmUntil;
    private long callSeq = -1;
    private double beatAt;
    private double drainAt;
    private int held;
    private double util;
    private double perSecond;
    private double loadAt;
    private double highest;
    private double highestAt;

    /** An endpoint gate whose endpoint sends heartbeats so often, in milliseconds. */
    public EndpointGate(double beatMs) {
        this.beatMs = beatMs;
    }

    /** An endpoint sends a heartbeat; true if that changes what others need to know. */
    public boolean heartbeat(double now, String id, RpcCall.EndpointStatus settings) {
        if (id.equals(endpoint) && (settings.callSeq() <= callSeq || state == State.GONE && callSeq < 0)) {
            return false;
        }
        boolean fresh = !id.equals(endpoint);
        State before = state;
        endpoint = id;
        target = settings.target();
        capacity = Math.max(1, settings.capacity());
        callSeq = settings.callSeq();
        beatAt = now;
        warmUntil = now + Math.max(0, settings.warmupS()) * 1000;
        if ("draining".equals(settings.phase())) {
            if (fresh || before != State.DRAINING) {
                drainAt = now;
            }
            to(State.DRAINING);
        } else {
            to(State.SERVING);
        }
        return fresh || state != before;
    }

    /** The endpoint has left; true if that is new. */
    public boolean departed(String id) {
        if (!id.equals(endpoint) || state == State.GONE) {
            return false;
        }
        // No late heartbeat of this life counts any more.
        callSeq = Long.MAX_VALUE;
        to(State.GONE);
        return true;
    }

    /** Time passes; true if the endpoint has fallen silent. */
    public boolean tick(double now) {
        if ((state == State.SERVING || state == State.DRAINING) && now - beatAt > beatMs * BEATS_MISSING) {
            to(State.GONE);
            return true;
        }
        return false;
    }

    private void to(State next) {
        state = next;
    }

    /** Where it stands. */
    public State state() {
        return state;
    }

    /** The endpoint's id; empty where none is known. */
    public String endpoint() {
        return endpoint;
    }

    /** Its service. */
    public String target() {
        return target;
    }

    /** What it may be sent, as others are told. */
    public EndpointRecord.Phase phase() {
        return state == State.SERVING ? EndpointRecord.Phase.SERVING : EndpointRecord.Phase.DRAINING;
    }

    /** When it was last heard of. */
    public double heardAt() {
        return beatAt;
    }

    /** Requests that it works on at a time. */
    public int capacity() {
        return capacity;
    }

    /** How long it stays slow, in milliseconds. */
    public int warmMs(double now) {
        return (int) Math.max(0, warmUntil - now);
    }

    /** What may become of a request now. */
    public enum Admission {
        OPEN,
        FULL,
        MOVED,
        /** The endpoint does not own the request's key. */
        NOT_OWNER
    }

    /** Whether a request for this service, of this rank, may go to the endpoint now. */
    public Admission admit(double now, String service, int rank) {
        return admit(now, service, rank, LAST_CALLS_MS);
    }

    /**
     * Whether a request for this service, of this rank, may go to the endpoint now.
     *
     * @param lastCallsMs how long requests may still go to it once it drains
     */
    public Admission admit(double now, String service, int rank, double lastCallsMs) {
        boolean there = service.equals(target)
                && (state == State.SERVING || state == State.DRAINING && now - drainAt < lastCallsMs);
        if (!there) {
            return Admission.MOVED;
        }
        double highest = this.highest * Math.exp(-(now - highestAt) / HIGHEST_MS);
        if (rank <= 0) {
            this.highest = highest + 1000 / HIGHEST_MS;
            highestAt = now;
        }
        double[] queues = highest > HIGHEST_COME ? QUEUE_BEHIND : QUEUE;
        double queue = queues[Math.min(queues.length - 1, Math.max(0, rank))];
        return held < capacity * (1 + queue) ? Admission.OPEN : Admission.FULL;
    }

    /** A request goes to the endpoint. */
    public void requestStarted(double now) {
        load(now, 0);
        held++;
    }

    /** It has ended there. */
    public void requestEnded(double now, boolean answered) {
        load(now, answered ? 1 : 0);
        held--;
    }

    private void load(double now, int answers) {
        double keep = Math.pow(0.5, Math.max(0, now - loadAt) / LOAD_MS);
        util = util * keep + (1 - keep) * held / capacity;
        perSecond = perSecond * keep + answers * 1000 * Math.log(2) / LOAD_MS;
        loadAt = now;
    }

    /** Requests at the endpoint. */
    public int inFlight() {
        return held;
    }

    /** The part of its places that are taken, lately; over 1 where requests wait. */
    public double utilization() {
        return util;
    }

    /** Answers a second, lately. */
    public double perSecond() {
        return perSecond;
    }
}
