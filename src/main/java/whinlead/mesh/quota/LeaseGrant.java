package whinlead.mesh.quota;

import java.util.List;

/**
 * The complete lease that a control node gives a sidecar: shares that it does not list are no longer leased. It is
 * valid for {@link LeaseTerms#LEASE_MS} from when the report that it answers was sent.
 *
 * @param grantorLife identifies this run of the control node's process
 * @param number counts the grants of this process
 * @param reportNumber of the report that it answers
 * @param shares one entry for each tenant
 */
public record LeaseGrant(long grantorLife, long number, long reportNumber, List<QuotaShare> shares) {
    /** Copies the list. */
    public LeaseGrant {
        shares = List.copyOf(shares);
    }
}
