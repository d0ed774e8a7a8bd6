/**
 * Elects the control node for a duty that only one may perform at a time: a lease on the duty granted by a quorum of
 * the voters, under an epoch that increases with each holder.
 *
 * <p>Begin with {@link whinlead.mesh.duty.DutyCandidate}. Pure; one thread; uses {@code java.util} only.
 */
package whinlead.mesh.duty;
