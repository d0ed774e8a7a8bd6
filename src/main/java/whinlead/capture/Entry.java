package whinlead.capture;

import whinlead.engine.RequestListener;

/**
 * A request as a capture has it: no body, id or key.
 *
 * @param at microseconds since the capture began
 * @param kind position of its class in the capture's head
 * @param tenant position of its tenant in the settings, or -1
 * @param timeout how long its client waits, in milliseconds
 * @param size bytes of its body
 * @param repeat whether its client said that it is a repeat
 * @param end what its client was told
 */
public record Entry(long at, int kind, int tenant, int timeout, int size, boolean repeat, RequestListener.End end) {}
