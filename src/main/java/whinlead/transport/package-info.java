/**
 * Connections of {@code serve} to endpoints, each with one request at a time, and the outcome of each attempt.
 *
 * <p>Begin with {@link whinlead.transport.EndpointPool}. All code runs on one event loop.
 */
package whinlead.transport;
