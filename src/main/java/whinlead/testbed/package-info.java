/**
 * What plays against the program: scripted endpoints and clients, days under a driven clock and on sockets, and the
 * command line of all rehearsals.
 *
 * <p>Begin with {@code Rehearse}. Nothing that a sidecar runs depends on it but the command line.
 */
package whinlead.testbed;
