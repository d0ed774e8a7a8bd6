/**
 * The HTTP/1.1 listener of {@code serve}: connections of clients, checks of request heads, draining.
 *
 * <p>Begin with {@link whinlead.front.http1.ClientServer}. On one event loop's thread; never sends to endpoints itself.
 */
package whinlead.front.http1;
