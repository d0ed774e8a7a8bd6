package whinlead.mesh.keys;

import java.util.List;

/**
 * The report of a sidecar beside an endpoint of a sharded service to the control node that grants keys.
 *
 * @param sidecarLife identifies this run of the sidecar's process, among those at the same address
 * @param number counts the reports of this run
 * @param service of the endpoint
 * @param endpoint id of the endpoint
 * @param capacity number of requests that the endpoint runs concurrently
 * @param leaving whether the endpoint or this process is about to stop, so that its keys are to be moved
 * @param busyPlaces places of the capacity that requests take, or would take if none were refused; above the capacity
 *     while requests wait
 * @param held all keys that are held
 * @param released keys that were released since the last report that was answered
 * @param loads of the held keys that get requests
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
