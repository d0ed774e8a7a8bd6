package whinlead.plan;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The connections of one simulated sidecar. Idle connections are reused, the most recently used first. They are closed
 * after the idle time-out, or when a new connection needs the space. Not thread-safe.
 */
final class ConnectionPool {
    private final Fleet.Sidecar limits;
    private final Calendar calendar;
    /** For each front, the times since which its idle connections are idle, oldest first. */
    private final Map<SimulatedFront, ArrayDeque<Double>> idle = new HashMap<>();

    private int open;

    /** Creates an empty pool. */
    ConnectionPool(Fleet.Sidecar limits, Calendar calendar) {
        this.limits = limits;
        this.calendar = calendar;
    }

    /** Whether there is an idle connection to a front. */
    boolean hasIdle(SimulatedFront front) {
        ArrayDeque<Double> toFront = idle.get(front);
        while (toFront != null && !toFront.isEmpty() && toFront.peekFirst() < calendar.nowMs() - limits.idle()) {
            toFront.pollFirst();
            recordClosed(front, front.incarnation());
        }
        return toFront != null && !toFront.isEmpty();
    }

    /** Takes an idle connection to a front; the caller has checked that there is one. */
    void takeIdle(SimulatedFront front) {
        idle.get(front).pollLast();
    }

    /** Opens a connection to a front; false if the front or the sidecar is at its connection limit. */
    boolean open(SimulatedFront front) {
        if (!front.acceptsConnection() || !makeRoom()) {
            return false;
        }
        open++;
        front.connectionOpened();
        return true;
    }

    /** Returns a connection to an incarnation of a front, for reuse or to be closed. */
    void release(SimulatedFront front, int incarnation, boolean reusable) {
        if (reusable && front.incarnation() == incarnation) {
            idle.computeIfAbsent(front, k -> new ArrayDeque<>()).addLast(calendar.nowMs());
        } else {
            recordClosed(front, incarnation);
        }
    }

    /** Drops the idle connections to a front that was lost. */
    void drop(SimulatedFront front) {
        ArrayDeque<Double> toFront = idle.remove(front);
        open -= toFront == null ? 0 : toFront.size();
    }

    private void recordClosed(SimulatedFront front, int incarnation) {
        open--;
        front.connectionClosed(incarnation);
    }

    // At the connection limit, closes the connection that has been idle for longest.
    private boolean makeRoom() {
        if (open < limits.connections()) {
            return true;
        }
        SimulatedFront oldest = null;
        for (SimulatedFront front : idle.keySet()) {
            if (!idle.get(front).isEmpty() && (oldest == null || idleForLonger(front, oldest))) {
                oldest = front;
            }
        }
        if (oldest == null) {
            return false;
        }
        idle.get(oldest).pollFirst();
        recordClosed(oldest, oldest.incarnation());
        return true;
    }

    // Ties are broken by name: results must not depend on the iteration order of the map.
    private boolean idleForLonger(SimulatedFront front, SimulatedFront other) {
        double since = idle.get(front).peekFirst();
        double otherSince = idle.get(other).peekFirst();
        return since < otherSince || since == otherSince && front.id().compareTo(other.id()) < 0;
    }
}
