package whinlead.plan;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The connections of one simulated sidecar: those that are idle are used again, the latest first, and closed when they
 * have been idle for long or another needs their place. For one thread.
 */
final class ConnectionPool {
    private final Fleet.Sidecar limits;
    private final Calendar calendar;
    /** By front, since when each of its idle connections is idle, the longest first. */
    private final Map<SimulatedFront, ArrayDeque<Double>> idle = new HashMap<>();

    private int open;

    /** One without connections. */
    ConnectionPool(Fleet.Sidecar limits, Calendar calendar) {
        this.limits = limits;
        this.calendar = calendar;
    }

    /** Whether there is an idle connection to a front. */
    boolean hasIdle(SimulatedFront front) {
        ArrayDeque<Double> toFront = idle.get(front);
        while (toFront != null && !toFront.isEmpty() && toFront.peekFirst() < calendar.now() - limits.idle()) {
            toFront.pollFirst();
            closed(front, front.incarnation());
        }
        return toFront != null && !toFront.isEmpty();
    }

    /** Takes an idle connection to a front; there must be one. */
    void takeIdle(SimulatedFront front) {
        idle.get(front).pollLast();
    }

    /** Opens a connection to a front; false if the front or the sidecar has none left. */
    boolean open(SimulatedFront front) {
        if (!front.acceptsConnection() || !makeRoom()) {
            return false;
        }
        open++;
        front.connectionOpened();
        return true;
    }

    /** Gives back a connection to an incarnation of a front, to be used again or not. */
    void release(SimulatedFront front, int incarnation, boolean reusable) {
        if (reusable && front.incarnation() == incarnation) {
            idle.computeIfAbsent(front, k -> new ArrayDeque<>()).addLast(calendar.now());
        } else {
            closed(front, incarnation);
        }
    }

    /** Drops the idle connections to a front that is lost. */
    void drop(SimulatedFront front) {
        ArrayDeque<Double> toFront = idle.remove(front);
        open -= toFront == null ? 0 : toFront.size();
    }

    private void closed(SimulatedFront front, int incarnation) {
        open--;
        front.connectionClosed(incarnation);
    }

    // Closes the connection that has been idle for longest if there is no room for one more.
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
        closed(oldest, oldest.incarnation());
        return true;
    }

    // By time, and then by name: the order of a map must not show.
    private boolean idleForLonger(SimulatedFront front, SimulatedFront than) {
        double since = idle.get(front).peekFirst();
        double other = idle.get(than).peekFirst();
        return since < other || since == other && front.id().compareTo(than.id()) < 0;
    }
}
