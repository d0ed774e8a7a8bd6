package whinlead.engine;

/**
 * What the engine needs to know of a request, whatever the protocol that it came by.
 *
 * @param classIndex position of its class in the settings
 * @param tenantIndex position of its tenant in the settings, or -1
 * @param timeout how long the client waits from now on, in milliseconds; more than 0
 * @param repeat whether the client says that it has asked before
 * @param room share of the places at its front that are free, itself counted, from 0 to 1; 1 where nothing bounds them
 * @param size bytes of its body, 0 where the front has none of it
 */
public record Request(int classIndex, int tenantIndex, double timeout, boolean repeat, double room, int size) {
    /** A request at a front that takes any number. */
    public Request(int classIndex, int tenantIndex, double timeout, boolean repeat) {
        this(classIndex, tenantIndex, timeout, repeat, 1, 0);
    }

    /** The same, with so much time left. */
    public Request within(double left) {
        return new Request(classIndex, tenantIndex, left, repeat, room, size);
    }

    /** The same, with a body of so many bytes, at a front with so much room. */
    public Request at(double left, int bytes) {
        return new Request(classIndex, tenantIndex, timeout, repeat, left, bytes);
    }
}
