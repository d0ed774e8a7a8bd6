/**
 * Which control node does a duty that only one may do at a time: a lease of the duty by a quorum of the voters, under
 * an epoch that rises with each holder.
 *
 * <p>Begin with {@link whinlead.mesh.duty.DutyCandidate}. Pure; one thread; uses {@code java.util} only.
 */
package whinlead.mesh.duty;
