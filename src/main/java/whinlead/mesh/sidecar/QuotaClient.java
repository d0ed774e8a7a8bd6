package whinlead.mesh.sidecar;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import whinlead.engine.Timers;
import whinlead.mesh.log.Event;
import whinlead.mesh.quota.LeaseGrant;
import whinlead.mesh.quota.LeaseReport;
import whinlead.mesh.quota.LeaseSchedule;
import whinlead.mesh.quota.QuotaDecision;
import whinlead.mesh.quota.TenantQuota;
import whinlead.mesh.quota.TokenRequest;
import whinlead.mesh.quota.TokenResponse;
import whinlead.mesh.quota.TokenSearch;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;

/**
 * Tenants' quotas at a sidecar: maintains leases with the control nodes, and requests single tokens from them when no
 * leased token is left. Runs on its loop's thread.
 */
final class QuotaClient {
    /** Maximum number of concurrent token searches; beyond it, requests are refused at once. */
    private static final int MAX_SEARCHES = 256;
    /** Minimum interval between two log entries for the same tenant, in milliseconds. */
    private static final double LOG_INTERVAL_MS = 5000;
    /** Maximum number of unanswered token requests that are remembered. */
    private static final int MAX_TOKEN_REQUESTS = 4 * MAX_SEARCHES;
    /** Maximum number of tenants whose last log entry is remembered. */
    private static final int MAX_LOGGED = 256;

    /** A connection to a control node, as far as quotas need it. */
    interface Connection {
        /** Whether the connection is up, so that an answer can be expected. */
        boolean isUp();

        /** The protocol version that both sides speak. */
        int version();

        /** Sends a message. */
        void send(PeerMessage message);
    }

    private final Timers timers;
    private final TenantQuota quota;
    private final IntSupplier knownSidecars;
    private final Map<String, Connection> connections = new LinkedHashMap<>();
    private final Map<String, LeaseSchedule> schedules = new HashMap<>();
    /** The unanswered token requests by number. A token that arrives late can still be used for other requests. */
    private final Map<Long, SentTokenRequest> tokenRequests = new LinkedHashMap<>();

    private final Map<String, Double> lastLoggedMs = new LinkedHashMap<>();
    private final Random random = new Random();
    private long lastTokenRequest;
    private int activeSearches;
    private boolean leasesEnabled = true;

    /**
     * Creates a client without control nodes.
     *
     * @param knownSidecars how many sidecars are known
     */
    QuotaClient(Timers timers, TenantQuota quota, IntSupplier knownSidecars) {
        this.timers = timers;
        this.quota = quota;
        this.knownSidecars = knownSidecars;
    }

    /** Adds a new connection to a control node. */
    void connected(String controlNode, Connection connection) {
        connections.put(controlNode, connection);
        schedules.computeIfAbsent(controlNode, name -> new LeaseSchedule()).onConnected();
        quota.onConnected(controlNode);
    }

    /** Removes a control node that is no longer known. */
    void removed(String controlNode) {
        connections.remove(controlNode);
        schedules.remove(controlNode);
    }

    /** Called periodically: sends the lease reports that are due. */
    void tick() {
        double nowMs = timers.nowMs();
        boolean hasNews = quota.hasDemandChanged(nowMs);
        connections.forEach((controlNode, connection) -> {
            LeaseSchedule schedule = schedules.get(controlNode);
            if (leasesEnabled
                    && grantsLeases(connection)
                    && schedule.isDue(nowMs, quota.hasNeeds(nowMs, controlNode), hasNews)) {
                schedule.reportSent(nowMs);
                report(nowMs, controlNode, connection);
            }
        });
        quota.useEvenShare(nowMs, evenShare());
    }

    private void report(double nowMs, String controlNode, Connection connection) {
        LeaseReport report = quota.createReport(nowMs, controlNode);
        if (report != null) {
            connection.send(new PeerMessage.QuotaLeaseReport(report));
        }
    }

    /**
     * Sets whether leases are used. If not, all leases are released at once and requests are served from single tokens,
     * so that a machine that is about to stop keeps no share of a quota.
     */
    void setLeasesEnabled(boolean enabled) {
        if (leasesEnabled == enabled) {
            return;
        }
        leasesEnabled = enabled;
        if (leasesEnabled) {
            schedules.values().forEach(LeaseSchedule::onConnected);
        } else {
            LeaseReport report = quota.releaseAll(timers.nowMs());
            connections.values().stream()
                    .filter(QuotaClient::grantsLeases)
                    .forEach(connection -> connection.send(new PeerMessage.QuotaLeaseReport(report)));
        }
    }

    private static boolean grantsLeases(Connection connection) {
        return connection.isUp() && connection.version() >= ProtocolVersion.LEASES;
    }

    // During an upgrade of the control nodes, those of the earlier version grant no leases.
    private double evenShare() {
        boolean anyGrants = connections.values().stream().anyMatch(each -> each.version() >= ProtocolVersion.LEASES);
        boolean anyEarlier = connections.values().stream()
                .anyMatch(each -> each.isUp() && each.version() == ProtocolVersion.TOLERANT);
        return anyEarlier && !anyGrants ? 1.0 / Math.max(1, knownSidecars.getAsInt()) : 0;
    }

    /** Accepts a lease from a control node. */
    void leaseGranted(String controlNode, LeaseGrant grant) {
        quota.applyGrant(timers.nowMs(), controlNode, grant);
    }

    /** Accepts a control node's answer to a token request. */
    void tokenAnswered(TokenResponse response) {
        SentTokenRequest tokenRequest = tokenRequests.remove(response.number());
        if (tokenRequest != null) {
            tokenRequest.search.onAnswer(tokenRequest.controlNode, response.granted(), response.waitMs());
        }
    }

    private record SentTokenRequest(String controlNode, TokenSearch search) {}

    private void rememberTokenRequest(long number, SentTokenRequest tokenRequest) {
        tokenRequests.put(number, tokenRequest);
        if (tokenRequests.size() > MAX_TOKEN_REQUESTS) {
            tokenRequests.remove(tokenRequests.keySet().iterator().next());
        }
    }

    /**
     * Decides whether a request is within its tenant's quota, at once if that is possible locally.
     *
     * @param targetMs the latency target of the request: within it, its response has full value
     * @param decisionListener called once with {@code Admitted} or {@code Refused}
     * @return cancels the token search if one was started; the listener is then not called
     */
    Runnable acquire(
            String tenant, double limitPerS, double burst, double targetMs, Consumer<QuotaDecision> decisionListener) {
        double nowMs = timers.nowMs();
        QuotaDecision decision = quota.acquire(nowMs, tenant, limitPerS, burst);
        if (decision instanceof QuotaDecision.NeedsToken tokenNeeded) {
            return search(tokenNeeded, targetMs, decisionListener);
        }
        if (decision instanceof QuotaDecision.Refused) {
            logLimited(nowMs, tenant);
        }
        decisionListener.accept(decision);
        return () -> {};
    }

    private Runnable search(
            QuotaDecision.NeedsToken tokenNeeded, double targetMs, Consumer<QuotaDecision> decisionListener) {
        List<String> reachable = new ArrayList<>();
        connections.forEach((controlNode, connection) -> {
            if (grantsLeases(connection)) {
                reachable.add(controlNode);
            }
        });
        if (reachable.isEmpty() || activeSearches >= MAX_SEARCHES) {
            decisionListener.accept(refusal(tokenNeeded.tenant(), 0));
            return () -> {};
        }
        Collections.shuffle(reachable, random);
        activeSearches++;
        SearchActions actions = new SearchActions(tokenNeeded, decisionListener);
        TokenSearch search = new TokenSearch(reachable, tokenNeeded.allowance(), actions);
        actions.search = search;
        double maxSearchMs = Math.min(TokenSearch.MAX_MS, targetMs * TokenSearch.LATENCY_TARGET_FRACTION);
        actions.hedgeTimer = timers.schedule(maxSearchMs * TokenSearch.HEDGE_FRACTION, search::hedge);
        actions.endTimer = timers.schedule(maxSearchMs, search::end);
        search.begin();
        return search::cancel;
    }

    private QuotaDecision.Refused refusal(String tenant, double waitMs) {
        double nowMs = timers.nowMs();
        logLimited(nowMs, tenant);
        return new QuotaDecision.Refused(quota.tokenDenied(nowMs, tenant, waitMs));
    }

    private void logLimited(double nowMs, String tenant) {
        if (nowMs - lastLoggedMs.getOrDefault(tenant, Double.NEGATIVE_INFINITY) < LOG_INTERVAL_MS) {
            return;
        }
        lastLoggedMs.remove(tenant);
        lastLoggedMs.put(tenant, nowMs);
        if (lastLoggedMs.size() > MAX_LOGGED) {
            lastLoggedMs.remove(lastLoggedMs.keySet().iterator().next());
        }
        Event.TENANT_LIMITED.log(quota.describe(nowMs, tenant));
    }

    /** Number of requests that wait for a token. */
    int pendingSearches() {
        return activeSearches;
    }

    /** Carries out the actions of one request's token search. */
    private final class SearchActions implements TokenSearch.Actions {
        private final QuotaDecision.NeedsToken tokenNeeded;
        private final Consumer<QuotaDecision> decisionListener;
        private TokenSearch search;
        private Timers.TimerHandle hedgeTimer;
        private Timers.TimerHandle endTimer;

        private SearchActions(QuotaDecision.NeedsToken tokenNeeded, Consumer<QuotaDecision> decisionListener) {
            this.tokenNeeded = tokenNeeded;
            this.decisionListener = decisionListener;
        }

        @Override
        public void requestToken(String controlNode) {
            long number = ++lastTokenRequest;
            rememberTokenRequest(number, new SentTokenRequest(controlNode, search));
            Connection connection = connections.get(controlNode);
            if (connection != null) {
                connection.send(new PeerMessage.QuotaTokenRequest(
                        new TokenRequest(number, tokenNeeded.tenant(), tokenNeeded.allowance())));
            }
        }

        @Override
        public void granted() {
            finish();
            quota.tokenGranted(tokenNeeded.tenant());
            decisionListener.accept(new QuotaDecision.Admitted());
        }

        @Override
        public void returnToken(String controlNode) {
            quota.tokenUnused(controlNode, tokenNeeded.tenant());
        }

        @Override
        public void denied(double waitMs) {
            finish();
            decisionListener.accept(refusal(tokenNeeded.tenant(), waitMs));
        }

        @Override
        public void cancelled() {
            finish();
        }

        private void finish() {
            activeSearches--;
            hedgeTimer.cancel();
            endTimer.cancel();
        }
    }
}
