/**
 * Requests that other proxies ask about and send themselves: the module's choice for each, and what they report.
 *
 * <p>Begin with {@link whinlead.consult.Consultations}; {@code docs/processor.md}. On the engine's thread.
 */
package whinlead.consult;
