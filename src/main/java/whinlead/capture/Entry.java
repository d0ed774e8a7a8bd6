package whinlead.capture;

import whinlead.engine.RequestListener;

/**
 * A request as recorded in a capture, without body, id or key.
 *
 * @param arrivalMicros arrival time in microseconds since the capture began
 * @param classIndex index of the request class in the header of the capture
 * @param tenantIndex index of the tenant in the settings, or -1
 * @param timeoutMs how long the client waits
 * @param bodyBytes size of the body
 * @param repeat whether the client marked the request as a repeat
 * @param outcome how the request ended for the client
 */
public record Entry(
        long arrivalMicros,
        int classIndex,
        int tenantIndex,
        int timeoutMs,
        int bodyBytes,
        boolean repeat,
        RequestListener.Result outcome) {}
