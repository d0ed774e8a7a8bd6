package whinlead.mesh.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A lease between one sidecar and one control node, step by step. */
public class QuotaLeaseTest {
    private static final String TENANT = "tenant";
    private static final String CONTROL_NODE = "control-node";
    private static final String SIDECAR = "sidecar";
    private static final double LIMIT = 100;
    private static final QuotaRules RULES = new QuotaRules(5, 0.1, 20);

    private TenantQuota quota;
    private QuotaGrantor grantor;

    @BeforeMethod
    public void start() {
        quota = new TenantQuota(RULES, 1);
        grantor = new QuotaGrantor(0, 7, Set.of(), false);
        grantor.advance(0, 1);
    }

    private boolean isAdmitted(double nowMs) {
        return quota.acquire(nowMs, TENANT, LIMIT, LIMIT) instanceof QuotaDecision.Admitted;
    }

    private LeaseGrant renew(double nowMs) {
        LeaseReport report = quota.createReport(nowMs, CONTROL_NODE);
        LeaseGrant grant = grantor.handleReport(nowMs, SIDECAR, report, true);
        if (grant != null) {
            quota.applyGrant(nowMs, CONTROL_NODE, grant);
        }
        return grant;
    }

    // Creates demand for two seconds and gets a lease for it.
    private void obtainLease() {
        for (int ms = 0; ms < 2000; ms += 10) {
            isAdmitted(ms);
        }
        assertTrue(renew(2000).shares().get(0).share() > 0);
    }

    @Test
    public void unrenewedLeaseEndsAtTheSidecarBeforeTheControlNodeDropsIt() {
        obtainLease();
        assertTrue(isAdmitted(2000 + LeaseTerms.LEASE_MS - 1), "the lease is still valid");
        assertFalse(isAdmitted(2000 + LeaseTerms.LEASE_MS), "the lease has ended");
        assertTrue(LeaseTerms.COUNTED_MS > LeaseTerms.LEASE_MS);
        assertEquals(grantor.lessees(), Set.of(SIDECAR));
        grantor.advance(2000 + LeaseTerms.COUNTED_MS + 200, 1);
        assertEquals(grantor.lessees(), Set.of());
    }

    @Test
    public void grantIsValidFromWhenItsReportWasSent() {
        for (int ms = 0; ms < 2000; ms += 10) {
            isAdmitted(ms);
        }
        LeaseReport report = quota.createReport(2000, CONTROL_NODE);
        LeaseGrant grant = grantor.handleReport(2500, SIDECAR, report, true);
        quota.applyGrant(3000, CONTROL_NODE, grant);
        assertTrue(isAdmitted(3500));
        assertFalse(isAdmitted(2000 + LeaseTerms.LEASE_MS));
    }

    @Test
    public void answerToAReportOfAnEarlierConnectionIsIgnored() {
        for (int ms = 0; ms < 2000; ms += 10) {
            isAdmitted(ms);
        }
        LeaseReport report = quota.createReport(2000, CONTROL_NODE);
        LeaseGrant grant = grantor.handleReport(2000, SIDECAR, report, true);
        quota.onConnected(CONTROL_NODE);
        quota.applyGrant(2100, CONTROL_NODE, grant);
        assertFalse(isAdmitted(2200));
    }

    @Test
    public void sidecarNotRecordedOnDiskIsGrantedNothing() {
        isAdmitted(0);
        assertEquals(grantor.handleReport(10, SIDECAR, quota.createReport(10, CONTROL_NODE), false), null);
    }

    @Test
    public void withoutCapacityNoLeaseOrTokenIsGranted() {
        obtainLease();
        grantor.advance(2100, 0);
        assertEquals(renew(2200), null);
        TokenRequest request = new TokenRequest(1, TENANT, RULES.allowance(LIMIT, LIMIT));
        assertFalse(grantor.handleTokenRequest(2300, request).granted());
    }

    @Test
    public void restartedGrantorGrantsNothingNewUntilItsLesseesHaveReported() {
        obtainLease();
        double heldShare = grantor.handleReport(2100, SIDECAR, quota.createReport(2100, CONTROL_NODE), true)
                .shares()
                .get(0)
                .share();
        grantor = new QuotaGrantor(3000, 8, Set.of(SIDECAR, "another"), false);
        grantor.advance(3000, 1);
        TokenRequest request = new TokenRequest(1, TENANT, RULES.allowance(LIMIT, LIMIT));
        assertFalse(
                grantor.handleTokenRequest(3100, request).granted(), "another sidecar may have a lease of this token");
        LeaseGrant grant = renew(3200);
        assertTrue(grant.shares().get(0).share() <= heldShare + 1e-9, "its share must not grow");
        assertTrue(grantor.isRecovering());
        grantor.handleReport(3300, "another", new LeaseReport(5, 1, 0, 0, List.of()), true);
        assertFalse(grantor.isRecovering());
        assertTrue(grantor.handleTokenRequest(4000, request).granted());
    }

    @Test
    public void recoveringGrantorGivesOutNoMoreThanItsPartOfTheReserve() {
        QuotaAllowance allowance = RULES.allowance(LIMIT, LIMIT);
        grantor = new QuotaGrantor(3000, 8, Set.of("another"), true);
        grantor.advance(3000, 0.5);
        int given = 0;
        for (int i = 0; i < 1000; i++) {
            given += grantor.handleTokenRequest(3100 + i, new TokenRequest(i, TENANT, allowance))
                            .granted()
                    ? 1
                    : 0;
        }
        assertEquals(given, (int) (allowance.reserve() / 2));
    }

    @Test
    public void newProcessAtASidecarsAddressHasNoLeasesOfThePreviousOne() {
        obtainLease();
        TenantQuota second = new TenantQuota(RULES, 2);
        assertFalse(second.acquire(2100, TENANT, LIMIT, LIMIT) instanceof QuotaDecision.Admitted);
        LeaseGrant grant = grantor.handleReport(2200, SIDECAR, second.createReport(2200, CONTROL_NODE), true);
        assertEquals(grant.reportNumber(), 1);
        // All of the limit but its own lease can be given out again.
        TokenRequest request = new TokenRequest(1, TENANT, RULES.allowance(LIMIT, LIMIT));
        int given = 0;
        while (grantor.handleTokenRequest(12_000, request).granted()) {
            given++;
        }
        assertTrue(given > LIMIT, "only " + given + " tokens given out");
    }

    @Test
    public void leavingSidecarHasNoLeases() {
        obtainLease();
        grantor.handleReport(2500, SIDECAR, quota.releaseAll(2500), true);
        assertEquals(grantor.lessees(), Set.of());
        assertFalse(isAdmitted(2600));
    }

    /** A sidecar that gave up its lease and comes back reports an earlier grant until the new one has arrived. */
    @Test
    public void grantInTransitCountsForASidecarThatReportsAnOlderGrant() {
        obtainLease();
        renew(2100);
        renew(2200);
        grantor.handleReport(2300, SIDECAR, quota.releaseAll(2300), true);
        LeaseGrant inTransit = grantor.handleReport(2400, SIDECAR, quota.createReport(2400, CONTROL_NODE), true);
        double share = inTransit.shares().get(0).share();
        assertTrue(share > 0);
        // The sidecar's entry may have been removed from the disk, so that it is granted nothing more.
        grantor.handleReport(2500, SIDECAR, quota.createReport(2500, CONTROL_NODE), false);
        quota.applyGrant(2600, CONTROL_NODE, inTransit);
        QuotaNeed need = new QuotaNeed(TENANT, 10_000, RULES.allowance(LIMIT, LIMIT), 0, 0);
        LeaseGrant otherGrant = grantor.handleReport(2700, "other", new LeaseReport(9, 1, 0, 0, List.of(need)), true);
        assertTrue(
                otherGrant.shares().get(0).share() + share <= 1 + 1e-9,
                "shares of " + otherGrant + " and " + share + " exceed the limit");
    }

    @Test
    public void outdatedReportIsIgnored() {
        obtainLease();
        LeaseReport outdated = quota.createReport(2100, CONTROL_NODE);
        assertTrue(renew(2200) != null);
        assertEquals(grantor.handleReport(2300, SIDECAR, outdated, true), null);
    }
}
