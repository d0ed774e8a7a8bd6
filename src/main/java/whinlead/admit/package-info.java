/**
 * Admission of connections, and selection of the ones to close under shortage: connection limits, rates per client,
 * file descriptors.
 *
 * <p>Start with {@link whinlead.admit.Gate}. Pure: uses no socket, clock or thread; {@code docs/admission.md}.
 */
package whinlead.admit;
