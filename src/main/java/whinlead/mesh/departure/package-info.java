/**
 * Departures of endpoints: which endpoints have announced that they leave, so that no later process of their sidecar
 * takes them for serving. A departure is acknowledged once a majority of the voters has it on disk, and a sidecar that
 * starts learns them from a majority.
 *
 * <p>Begin with {@link whinlead.mesh.departure.DepartureQuorum}. Pure; one thread; uses {@code java.util} and the names
 * of voters only.
 */
package whinlead.mesh.departure;
