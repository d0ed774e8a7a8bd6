/**
 * Requests that other proxies ask about and send themselves: the module's decision for each, and the reports on them.
 *
 * <p>Start with {@link whinlead.consult.Consultations}; {@code docs/processor.md}. Runs on the engine's thread.
 */
package whinlead.consult;
