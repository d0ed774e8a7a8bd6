/**
 * Connections of {@code serve} to endpoints, each with one request at a time, and what became of each attempt.
 *
 * <p>Begin with {@link whinlead.transport.EndpointPool}. On one event loop's thread.
 */
package whinlead.transport;
