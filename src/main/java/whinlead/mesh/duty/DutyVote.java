package whinlead.mesh.duty;

/**
 * A voter's answer.
 *
 * @param number the question's
 * @param granted whether it votes for the one who asked
 * @param epoch that it was asked for; if refused, the highest one that it knows
 * @param first whether it surely never voted before this epoch, on this disk or another
 */
public record DutyVote(long number, boolean granted, long epoch, boolean first) {}
