/**
 * Who may connect and send, and who makes room when there is none left: connections, rates by client, descriptors.
 *
 * <p>Begin with {@link whinlead.admit.Gate}. Pure: knows no socket, clock or thread; {@code docs/admission.md}.
 */
package whinlead.admit;
