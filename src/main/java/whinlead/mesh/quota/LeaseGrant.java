package whinlead.mesh.quota;

import java.util.List;

/**
 * The lease that a control node gives a sidecar, whole: what it does not name is no longer held. It is valid for
 * {@link LeaseTerms#LEASE_MS} from when the report that it answers was sent.
 *
 * @param grantorLife tells this control node's process from an earlier one
 * @param number counts the grants of this process
 * @param reportNumber of the report that it answers
 * @param shares by tenant
 */
public record LeaseGrant(long grantorLife, long number, long reportNumber, List<QuotaShare> shares) {
    /** Copies the list. */
    public LeaseGrant {
        shares = List.copyOf(shares);
    }
}
