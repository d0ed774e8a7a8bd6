/**
 * Replication groups simulated by a seed and a driven clock: machines, disks, network and proxies.
 *
 * <p>Begin with {@link whinlead.testbed.replication.CopiesDay}.
 */
package whinlead.testbed.replication;
