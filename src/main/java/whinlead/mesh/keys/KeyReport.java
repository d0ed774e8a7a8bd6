package whinlead.mesh.keys;

import java.util.List;

/**
 * What the sidecar beside an endpoint of a divided service tells the control node that grants keys.
 *
 * @param sidecarLife tells this process from an earlier one at the same address
 * @param number counts the reports of one life
 * @param service the endpoint's
 * @param endpoint its id
 * @param capacity requests that it works on at a time
 * @param leaving whether it, or this process, is about to go, so that its keys are to be moved
 * @param busyPlaces places of its capacity that requests take, or would take if none were refused; over the capacity
 *     where requests wait
 * @param held all that is held
 * @param released since the last report that was answered
 * @param loads of the keys that are held, where requests come
 */
public record KeyReport(
        long sidecarLife,
        long number,
        String service,
        String endpoint,
        int capacity,
        boolean leaving,
        double busyPlaces,
        List<HeldKeys> held,
        List<ReleasedKeys> released,
        List<KeyLoad> loads) {
    /** Copies the lists. */
    public KeyReport {
        held = List.copyOf(held);
        released = List.copyOf(released);
        loads = List.copyOf(loads);
    }
}
