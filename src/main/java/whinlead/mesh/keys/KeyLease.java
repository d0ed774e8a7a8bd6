package whinlead.mesh.keys;

import java.util.List;

/**
 * What a control node leases to a sidecar, whole: what it does not name is not prolonged. It is valid for
 * {@link KeyTerms#LEASE_MS} from when the report that it answers was sent.
 *
 * @param epoch of the control node's term
 * @param number counts the leases of one term
 * @param sidecarLife of the process that it is for
 * @param reportNumber of the report that it answers; several may answer the same
 * @param leased keys that are leased
 * @param recalled keys, by range and fence, that are to be given up
 */
public record KeyLease(
        long epoch,
        long number,
        long sidecarLife,
        long reportNumber,
        List<LeasedKeys> leased,
        List<LeasedKeys> recalled) {
    /** Copies the lists. */
    public KeyLease {
        leased = List.copyOf(leased);
        recalled = List.copyOf(recalled);
    }
}
