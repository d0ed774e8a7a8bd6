package whinlead.mesh.duty;

/**
 * A candidate asks for a vote, or to renew it.
 *
 * @param number counts the questions of one process
 * @param epoch of the term that it asks for
 */
public record DutyRequest(long number, long epoch) {}
