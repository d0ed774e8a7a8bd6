package whinlead.mesh.keys;

import java.util.List;

/**
 * A control node's complete lease to a sidecar: leases of keys that it does not list are not extended. It is valid for
 * {@link KeyTerms#LEASE_MS} from when the report that it answers was sent.
 *
 * @param epoch of the control node's term
 * @param number counts the leases of one term
 * @param sidecarLife of the process that it is for
 * @param reportNumber of the report that it answers; several leases may answer the same report
 * @param leased keys that are leased
 * @param recalled keys that are to be released, by range and fence
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
