package whinlead.mesh.quota;

import java.util.List;

/**
 * A sidecar asks a control node for a lease, or to renew the one that it has.
 *
 * @param sidecarLife tells this process from an earlier one at the same address
 * @param number counts the reports of one life
 * @param grantorLife the life of the control node that gave what is held; 0 if nothing is
 * @param grantNumber the newest grant of that life that is in force
 * @param needs by tenant
 * @param leaving whether it gives up what it holds, for its process or its machine is about to go
 */
public record LeaseReport(
        long sidecarLife, long number, long grantorLife, long grantNumber, List<QuotaNeed> needs, boolean leaving) {
    /** One of a process that goes on. */
    public LeaseReport(long sidecarLife, long number, long grantorLife, long grantNumber, List<QuotaNeed> needs) {
        this(sidecarLife, number, grantorLife, grantNumber, needs, false);
    }

    /** Copies the list. */
    public LeaseReport {
        needs = List.copyOf(needs);
    }
}
