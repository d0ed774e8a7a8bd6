package whinlead.mesh.duty;

/**
 * A voter's answer.
 *
 * @param number of the request
 * @param granted whether the voter votes for the candidate
 * @param epoch the requested one; if refused, the highest one known to the voter
 * @param first whether the voter certainly never voted before this epoch, on this disk or another
 */
public record DutyVote(long number, boolean granted, long epoch, boolean first) {}
