package whinlead.mesh.quota;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The lease that a sidecar has from one control node. A grant is valid from when the report that it answers was sent,
 * so it ends here no later than at the control node. Pure; times in milliseconds.
 */
final class QuotaLease {
    /** Reports whose answers are accepted; answers to older ones are ignored. */
    private static final int MAX_OPEN_REPORTS = 16;

    private final Map<Long, Double> reportSentAtMs = new LinkedHashMap<>();
    private final Map<String, QuotaShare> shares = new HashMap<>();
    /** Tokens that belonged to shares that the control node has revoked, until the next report returns them. */
    private final Map<String, Double> returnedTokens = new HashMap<>();

    private long grantorLife;
    private long grantNumber;
    private long answeredReportNumber;
    private double validUntilMs = Double.NEGATIVE_INFINITY;

    long grantorLife() {
        return grantorLife;
    }

    long grantNumber() {
        return grantNumber;
    }

    double validUntilMs() {
        return validUntilMs;
    }

    Set<String> tenants() {
        return shares.keySet();
    }

    /** The share of this tenant; null if none is leased. */
    QuotaShare share(String tenant) {
        return shares.get(tenant);
    }

    void recordReportSent(double nowMs, long number) {
        reportSentAtMs.put(number, nowMs);
        if (reportSentAtMs.size() > MAX_OPEN_REPORTS) {
            reportSentAtMs.remove(reportSentAtMs.keySet().iterator().next());
        }
    }

    /**
     * Handles a new connection: answers to reports of the previous connection no longer arrive and are not accepted.
     */
    void dropOpenReports() {
        reportSentAtMs.clear();
    }

    /** Whether this grant is newer than the lease and answers a report of this connection. */
    boolean accepts(LeaseGrant grant) {
        return grant.reportNumber() > answeredReportNumber && reportSentAtMs.containsKey(grant.reportNumber());
    }

    /** Replaces the shares by those of the grant. */
    void replace(LeaseGrant grant) {
        validUntilMs = reportSentAtMs.get(grant.reportNumber()) + LeaseTerms.LEASE_MS;
        reportSentAtMs.keySet().removeIf(number -> number <= grant.reportNumber());
        answeredReportNumber = grant.reportNumber();
        grantorLife = grant.grantorLife();
        grantNumber = grant.number();
        shares.clear();
        grant.shares().forEach(share -> shares.put(share.tenant(), share));
    }

    void addReturnedTokens(String tenant, double tokens) {
        if (tokens > 0) {
            returnedTokens.merge(tenant, tokens, Double::sum);
        }
    }

    double returnedTokens(String tenant) {
        return returnedTokens.getOrDefault(tenant, 0.0);
    }

    /** Records that the returned tokens are in the report that is sent now. */
    void clearReturnedTokens() {
        returnedTokens.clear();
    }

    /** Gives up the shares of all tenants but these. */
    void retainTenants(Set<String> tenants) {
        shares.keySet().retainAll(tenants);
    }

    /** Ends the lease. */
    void expire() {
        shares.clear();
    }
}
