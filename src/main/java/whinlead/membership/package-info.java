/**
 * The platform's list of endpoints: watched, believed or not, and handed to whoever follows it.
 *
 * <p>Begin with {@link whinlead.membership.Discovery}; {@link whinlead.membership.Roster} decides, purely, which lists
 * are believed ({@code docs/large-fleet.md}).
 */
package whinlead.membership;
