package whinlead.mesh.duty;

/**
 * A candidate's request for a vote, or for its renewal.
 *
 * @param number counts the requests of one process
 * @param epoch of the requested term
 */
public record DutyRequest(long number, long epoch) {}
