package whinlead.mesh.quota;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * What a sidecar holds by leases from one control node. A grant counts from when the report that it answers was sent,
 * so it ends here no later than at the control node. Pure; times in milliseconds.
 */
final class QuotaLease {
    /** Reports whose answers are still waited for; of older ones an answer is passed over. */
    private static final int MAX_OPEN_REPORTS = 16;

    private final Map<Long, Double> reportSentAt = new LinkedHashMap<>();
    private final Map<String, QuotaShare> shares = new HashMap<>();
    /** Tokens that went with shares that the control node has taken back, until it is told. */
    private final Map<String, Double> returnedTokens = new HashMap<>();

    private long grantorLife;
    private long grantNumber;
    private long answeredReport;
    private double validUntil = Double.NEGATIVE_INFINITY;

    long grantorLife() {
        return grantorLife;
    }

    long grantNumber() {
        return grantNumber;
    }

    double validUntil() {
        return validUntil;
    }

    Set<String> tenants() {
        return shares.keySet();
    }

    /** The share of this tenant; null if none is leased. */
    QuotaShare share(String tenant) {
        return shares.get(tenant);
    }

    void reportSent(double now, long number) {
        reportSentAt.put(number, now);
        if (reportSentAt.size() > MAX_OPEN_REPORTS) {
            reportSentAt.remove(reportSentAt.keySet().iterator().next());
        }
    }

    /** A new connection: answers to what was sent on the one before don't come any more, and would count no more. */
    void reconnected() {
        reportSentAt.clear();
    }

    /** Whether this grant is newer than what is held, and answers a report of this connection. */
    boolean accepts(LeaseGrant grant) {
        return grant.reportNumber() > answeredReport && reportSentAt.containsKey(grant.reportNumber());
    }

    /** Takes the grant's shares in place of those that are held. */
    void replace(LeaseGrant grant) {
        validUntil = reportSentAt.get(grant.reportNumber()) + LeaseTerms.LEASE_MS;
        reportSentAt.keySet().removeIf(number -> number <= grant.reportNumber());
        answeredReport = grant.reportNumber();
        grantorLife = grant.grantorLife();
        grantNumber = grant.number();
        shares.clear();
        grant.shares().forEach(share -> shares.put(share.tenant(), share));
    }

    void returnTokens(String tenant, double tokens) {
        if (tokens > 0) {
            returnedTokens.merge(tenant, tokens, Double::sum);
        }
    }

    double returnedTokens(String tenant) {
        return returnedTokens.getOrDefault(tenant, 0.0);
    }

    /** They are told now. */
    void tokensReturned() {
        returnedTokens.clear();
    }

    /** Gives up the shares of all other tenants. */
    void retain(Set<String> tenants) {
        shares.keySet().retainAll(tenants);
    }

    /** Its time is over. */
    void expire() {
        shares.clear();
    }
}
