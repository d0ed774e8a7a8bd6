package cobaltrack.engine;

/**
 * What the engine needs to know of a request, whatever the protocol that it came by.
 *
 * @param classIndex position of its class in the settings
 * @param tenantIndex position of its tenant in the settings, or -1
 * @param timeout how long the client waits from now on, in milliseconds; more than 0
 * @param repeat whether the client says that it has asked before
 */
public record Ask(int classIndex, int tenantIndex, double timeout, boolean repeat) { }
