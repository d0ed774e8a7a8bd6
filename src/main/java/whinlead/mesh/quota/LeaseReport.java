package whinlead.mesh.quota;

import java.util.List;

/**
 * A sidecar's request to a control node for a lease, or for the renewal of the one that it has.
 *
 * @param sidecarLife identifies this run of the sidecar's process, among those at the same address
 * @param number counts the reports of this run
 * @param grantorLife the run of the control node that granted the shares in force; 0 if there are none
 * @param grantNumber the newest grant of that run that is in force
 * @param needs one entry for each tenant
 * @param leaving whether the sidecar gives up its leases because its process or machine is about to stop
 */
public record LeaseReport(
        long sidecarLife, long number, long grantorLife, long grantNumber, List<QuotaNeed> needs, boolean leaving) {
    /** Creates a report of a sidecar that is not leaving. */
    public LeaseReport(long sidecarLife, long number, long grantorLife, long grantNumber, List<QuotaNeed> needs) {
        this(sidecarLife, number, grantorLife, grantNumber, needs, false);
    }

    /** Copies the list. */
    public LeaseReport {
        needs = List.copyOf(needs);
    }
}
