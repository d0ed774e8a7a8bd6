/**
 * The plain API by which other proxies consult the sidecar; {@code docs/consult-api.md}.
 *
 * <p>Begin with {@link whinlead.front.consult.ConsultServer}.
 */
package whinlead.front.consult;
