/**
 * The platform's list of endpoints: watched, checked and passed on.
 *
 * <p>Start with {@link whinlead.membership.Discovery}; {@link whinlead.membership.Roster} decides, without I/O, which
 * lists are accepted ({@code docs/large-fleet.md}).
 */
package whinlead.membership;
