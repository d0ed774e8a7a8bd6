/**
 * Replication between real processes, over links that fail, held against one ledger of what became of each request.
 *
 * <p>Begin with {@link whinlead.testbed.fleet.CopiesFleet}.
 */
package whinlead.testbed.fleet;
