/**
 * An agent for HAProxy's stream processing offload protocol.
 *
 * <p>Start with {@link whinlead.front.spop.SpopServer}.
 */
package whinlead.front.spop;
