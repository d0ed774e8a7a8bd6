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
 * Tenants' limits at a sidecar: keeps its leases with the control nodes, and asks them for single tokens where no token
 * is left here. On its loop's thread.
 */
final class QuotaClient {
    /** Searches for tokens at a time; beyond, requests are refused at once. */
    private static final int MAX_SEARCHES = 256;
    /** The same tenant is told of in the log so often at most, in milliseconds. */
    private static final double LOG_INTERVAL_MS = 5000;
    /** Questions without an answer that are remembered. */
    private static final int MAX_ASKED = 4 * MAX_SEARCHES;
    /** Tenants whose last entry in the log is remembered. */
    private static final int MAX_LOGGED = 256;

    /** A connection to a control node, as far as limits go. */
    interface Connection {
        /** Whether a message may be sent with hope of an answer. */
        boolean isUp();

        /** The protocol version that both sides speak. */
        int version();

        /** Sends a message. */
        void send(PeerMessage message);
    }

    private final Timers timers;
    private final TenantQuota quota;
    private final IntSupplier sidecars;
    private final Map<String, Connection> connections = new LinkedHashMap<>();
    private final Map<String, LeaseSchedule> schedules = new HashMap<>();
    /** By number: who asked for a token, and of whom. What is answered late is still of use to others. */
    private final Map<Long, AskedToken> asked = new LinkedHashMap<>();

    private final Map<String, Double> loggedAt = new LinkedHashMap<>();
    private final Random random = new Random();
    private long tokenRequests;
    private int searches;
    private boolean holds = true;

    /**
     * A client without control nodes.
     *
     * @param sidecars how many there are, as far as is known
     */
    QuotaClient(Timers timers, TenantQuota quota, IntSupplier sidecars) {
        this.timers = timers;
        this.quota = quota;
        this.sidecars = sidecars;
    }

    /** A new connection to a control node is up. */
    void connected(String controlNode, Connection connection) {
        connections.put(controlNode, connection);
        schedules.computeIfAbsent(controlNode, name -> new LeaseSchedule()).connected();
        quota.connected(controlNode);
    }

    /** A control node is not known any more. */
    void removed(String controlNode) {
        connections.remove(controlNode);
        schedules.remove(controlNode);
    }

    /** Time passes: reports where that is due. */
    void tick() {
        double now = timers.now();
        boolean hasNews = quota.hasNews(now);
        connections.forEach((controlNode, connection) -> {
            LeaseSchedule schedule = schedules.get(controlNode);
            if (holds && grantsLeases(connection) && schedule.isDue(now, quota.hasNeeds(now, controlNode), hasNews)) {
                schedule.sent(now);
                report(now, controlNode, connection);
            }
        });
        quota.useEvenShare(now, evenShare());
    }

    private void report(double now, String controlNode, Connection connection) {
        LeaseReport report = quota.report(now, controlNode);
        if (report != null) {
            connection.send(new PeerMessage.QuotaLeaseReport(report));
        }
    }

    /**
     * Whether leases are held from now on. If not, what is held is given up at once, and single tokens serve requests:
     * a machine that is about to go takes no part of a limit with it.
     */
    void hold(boolean nowHolds) {
        if (holds == nowHolds) {
            return;
        }
        holds = nowHolds;
        if (holds) {
            schedules.values().forEach(LeaseSchedule::connected);
        } else {
            LeaseReport report = quota.release(timers.now());
            connections.values().stream()
                    .filter(QuotaClient::grantsLeases)
                    .forEach(connection -> connection.send(new PeerMessage.QuotaLeaseReport(report)));
        }
    }

    private static boolean grantsLeases(Connection connection) {
        return connection.isUp() && connection.version() >= ProtocolVersion.LEASES;
    }

    // While control nodes are upgraded, those of the earlier version grant nothing.
    private double evenShare() {
        boolean anyGrants = connections.values().stream().anyMatch(each -> each.version() >= ProtocolVersion.LEASES);
        boolean anyEarlier = connections.values().stream()
                .anyMatch(each -> each.isUp() && each.version() == ProtocolVersion.TOLERANT);
        return anyEarlier && !anyGrants ? 1.0 / Math.max(1, sidecars.getAsInt()) : 0;
    }

    /** A control node leases. */
    void granted(String controlNode, LeaseGrant grant) {
        quota.granted(timers.now(), controlNode, grant);
    }

    /** A control node answers whether there is a token. */
    void answered(TokenResponse response) {
        AskedToken token = asked.remove(response.number());
        if (token != null) {
            token.search.answered(token.controlNode, response.granted(), response.waitMs());
        }
    }

    private record AskedToken(String controlNode, TokenSearch search) {}

    private void remember(long number, AskedToken token) {
        asked.put(number, token);
        if (asked.size() > MAX_ASKED) {
            asked.remove(asked.keySet().iterator().next());
        }
    }

    /**
     * Decides on one request; at once where that can be done here.
     *
     * @param aimMs within which its answer is worth most
     * @param then told {@code Admitted} or {@code Refused}, once
     * @return ends the search for a token, if one goes on; then nothing is told
     */
    Runnable acquire(String tenant, double limitPerS, double burst, double aimMs, Consumer<QuotaDecision> then) {
        double now = timers.now();
        QuotaDecision decision = quota.acquire(now, tenant, limitPerS, burst);
        if (decision instanceof QuotaDecision.NeedsToken need) {
            return search(need, aimMs, then);
        }
        if (decision instanceof QuotaDecision.Refused) {
            log(now, tenant);
        }
        then.accept(decision);
        return () -> {};
    }

    private Runnable search(QuotaDecision.NeedsToken need, double aimMs, Consumer<QuotaDecision> then) {
        List<String> reachable = new ArrayList<>();
        connections.forEach((controlNode, connection) -> {
            if (grantsLeases(connection)) {
                reachable.add(controlNode);
            }
        });
        if (reachable.isEmpty() || searches >= MAX_SEARCHES) {
            then.accept(refusal(need.tenant(), 0));
            return () -> {};
        }
        Collections.shuffle(reachable, random);
        searches++;
        Asker asker = new Asker(need, then);
        TokenSearch search = new TokenSearch(reachable, need.allowance(), asker);
        asker.search = search;
        double mostMs = Math.min(TokenSearch.MAX_MS, aimMs * TokenSearch.AIM_PART);
        asker.hedge = timers.after(mostMs * TokenSearch.HEDGE_PART, search::hedge);
        asker.end = timers.after(mostMs, search::end);
        search.begin();
        return search::cancel;
    }

    private QuotaDecision.Refused refusal(String tenant, double waitMs) {
        double now = timers.now();
        log(now, tenant);
        return new QuotaDecision.Refused(quota.tokenDenied(now, tenant, waitMs));
    }

    private void log(double now, String tenant) {
        if (now - loggedAt.getOrDefault(tenant, Double.NEGATIVE_INFINITY) < LOG_INTERVAL_MS) {
            return;
        }
        loggedAt.remove(tenant);
        loggedAt.put(tenant, now);
        if (loggedAt.size() > MAX_LOGGED) {
            loggedAt.remove(loggedAt.keySet().iterator().next());
        }
        Event.TENANT_LIMITED.log(quota.describe(now, tenant));
    }

    /** Requests that wait for a token. */
    int pending() {
        return searches;
    }

    /** Does what one request's search asks for. */
    private final class Asker implements TokenSearch.Actions {
        private final QuotaDecision.NeedsToken need;
        private final Consumer<QuotaDecision> then;
        private TokenSearch search;
        private Timers.Timer hedge;
        private Timers.Timer end;

        private Asker(QuotaDecision.NeedsToken need, Consumer<QuotaDecision> then) {
            this.need = need;
            this.then = then;
        }

        @Override
        public void ask(String controlNode) {
            long number = ++tokenRequests;
            remember(number, new AskedToken(controlNode, search));
            Connection connection = connections.get(controlNode);
            if (connection != null) {
                connection.send(
                        new PeerMessage.QuotaTokenRequest(new TokenRequest(number, need.tenant(), need.allowance())));
            }
        }

        @Override
        public void granted() {
            over();
            quota.tokenGranted(need.tenant());
            then.accept(new QuotaDecision.Admitted());
        }

        @Override
        public void surplus(String controlNode) {
            quota.tokenUnused(controlNode, need.tenant());
        }

        @Override
        public void denied(double waitMs) {
            over();
            then.accept(refusal(need.tenant(), waitMs));
        }

        @Override
        public void cancelled() {
            over();
        }

        private void over() {
            searches--;
            hedge.cancel();
            end.cancel();
        }
    }
}
