package whinlead.engine;

/**
 * What the engine needs to know about a request, independent of its protocol.
 *
 * @param classIndex position of its class in the settings
 * @param tenantIndex position of its tenant in the settings, or -1
 * @param timeoutMs how long the client still waits, in milliseconds; more than 0
 * @param repeat whether the client marks it as a retry
 * @param freeShare free share of the places at its front, from 0 to 1, this request counted; 1 without a limit
 * @param bodyBytes size of its body in bytes; 0 if the front does not have the body
 */
public record Request(
        int classIndex, int tenantIndex, double timeoutMs, boolean repeat, double freeShare, int bodyBytes) {
    /** A request at a front without a limit on requests. */
    public Request(int classIndex, int tenantIndex, double timeout, boolean repeat) {
        this(classIndex, tenantIndex, timeout, repeat, 1, 0);
    }

    /** Returns a copy with this time left. */
    public Request withTimeout(double newTimeoutMs) {
        return new Request(classIndex, tenantIndex, newTimeoutMs, repeat, freeShare, bodyBytes);
    }

    /** Returns a copy with this free share of the front's places and this body size. */
    public Request withFreeShareAndBody(double newFreeShare, int newBodyBytes) {
        return new Request(classIndex, tenantIndex, timeoutMs, repeat, newFreeShare, newBodyBytes);
    }
}
