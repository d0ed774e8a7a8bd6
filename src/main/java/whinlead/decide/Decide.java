// The decision module of whinlead, one rule per file; its interface is Contract.java, one directory up.
package whinlead.decide;

import java.util.List;
import java.util.SplittableRandom;
import whinlead.Contract;

/**
 * Makes the decisions of one sidecar. For each server a drop share is learned from its outcomes. A request tries a
 * small random subset of servers in random order; the first server whose random draw passes gets it, and if none passes
 * the request is refused at once. docs/design.md describes which parts follow the published design and when each
 * exception applies.
 */
public final class Decide implements Contract.Events {
    // Length of a period as a share of the shortest latency target, and its minimum: several steps fit into the time
    // that a client waits.
    private static final double PERIOD_TARGET_SHARE = 0.1;
    private static final double MIN_PERIOD_MS = 10;
    // Retry-after as shares of the latency target: the minimum, and what a drop share of 1 adds.
    private static final double MIN_RETRY_AFTER_SHARE = 0.15;
    private static final double FULL_DROP_RETRY_AFTER_SHARE = 0.3;

    private final Contract.Settings settings;
    private final Contract.Actions actions;
    private final SplittableRandom random;
    private final double periodMs;
    final ServerList serverList;
    private final Subset subset;
    private final Worth worth;
    private final Lateness lateness;
    private final Controller controller;
    private final Crowding crowding;
    private final Ceiling ceiling = new Ceiling();
    private final boolean noReports;
    private final ColdBudget coldBudget;
    private final Retries retries;
    private final Probes probes;
    private final Relief relief = new Relief();
    private final Strain strain;
    private double lastWakeMs;
    private double wakeAtMs;

    /** Creates the module of one sidecar. The same seed and events give the same actions. */
    public Decide(Contract.Settings settings, long seed, Contract.Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        double shortestTargetMs = settings.classes().stream()
                .mapToDouble(Contract.RequestClass::latencyTarget)
                .min()
                .orElse(Double.MAX_VALUE);
        this.periodMs = Math.max(MIN_PERIOD_MS, shortestTargetMs * PERIOD_TARGET_SHARE);
        this.serverList = new ServerList(settings, random, actions);
        this.subset = new Subset(settings.sidecars(), periodMs);
        this.worth = new Worth(settings, random);
        this.noReports = settings.reporting() == Contract.Reporting.NONE;
        this.lateness = new Lateness(settings.classes());
        this.controller = new Controller(lateness);
        this.crowding = new Crowding(controller, shortestTargetMs, noReports, settings.sidecars());
        this.coldBudget = new ColdBudget(settings, shortestTargetMs);
        this.retries = new Retries(settings.limits());
        this.probes = new Probes(settings, shortestTargetMs);
        this.strain = new Strain(shortestTargetMs);
    }

    @Override
    public void start(double nowMs) {
        lastWakeMs = nowMs;
        serverList.start(nowMs, settings.listMustBeRequested());
        wake(nowMs, 0.5 + random.nextDouble());
    }

    private void wake(double nowMs, double periods) {
        wakeAtMs = nowMs + periodMs * periods;
        actions.wake(wakeAtMs);
    }

    @Override
    public void servers(double nowMs, Contract.ListKind kind, List<Contract.Server> entries) {
        if (serverList.update(nowMs, kind, entries)) {
            subset.pick(nowMs, serverList.nodes.values());
        }
    }

    @Override
    public void request(double nowMs, Contract.Request request) {
        if (request.state != null) {
            return;
        }
        Call call = new Call(nowMs, request, settings.classes().get(request.classIndex), worth.recordRequest(request));
        request.state = call;
        retries.recordRequest();
        relief.requests++;
        probes.recordRequest();
        double ownDropShare = strain.dropShare(request.freeShare, worth.lowerWorthShare());
        if (ownDropShare > 0 && random.nextDouble() < worth.dropShare(call.level, ownDropShare)) {
            endWithoutAttempt(nowMs, call);
        } else {
            startAttempt(nowMs, call);
        }
    }

    private void startAttempt(double nowMs, Call call) {
        Node node = chooseServer(nowMs, call);
        if (node == null) {
            endWithoutAttempt(nowMs, call);
            return;
        }
        Attempt attempt = new Attempt(call, node, nowMs);
        call.attempts.add(attempt);
        node.outstanding.add(attempt);
        node.reported.balanceSince++;
        node.sendsInPeriod++;
        actions.send(call.request, node.entry.id(), call.attemptTimeoutMs(nowMs));
    }

    // Tries the subset in random order with an independent draw at each server, and returns the first that passes.
    private Node chooseServer(double nowMs, Call call) {
        double limitDropShare = noReports ? ceiling.dropShare(subset.ranked, crowding) : 0;
        if (limitDropShare > 0 && random.nextDouble() < worth.dropShare(call.level, limitDropShare)) {
            return null;
        }
        // A small subset rarely contains another server that would discard a repeat, so such a retry considers all
        // servers.
        Node[] candidates = call.needsDedupGroup() ? subset.allUsable : subset.shuffled;
        crowding.updateMean(nowMs, candidates);
        Node fallback = null;
        for (int remaining = candidates.length; remaining > 0; remaining--) {
            int j = random.nextInt(remaining);
            Node node = candidates[j];
            candidates[j] = candidates[remaining - 1];
            candidates[remaining - 1] = node;
            if (node.reachability.avoids(nowMs, node.outstanding.count)
                    || !call.mayUse(nowMs, node)
                    || !passesDraws(nowMs, call, node)) {
                continue;
            }
            // A small server is tried later, and so is a healthy one with more than the mean in flight; neither
            // refuses anything.
            double firstChance = node.relativeSize * (1 - crowding.excessShare(nowMs, node) * crowding.health(node));
            // Handshakes cost a busy server work: with attempts in flight there, a server with a free connection is
            // preferred.
            boolean connectionFree = node.outstanding.count == 0 || actions.connected(call.request, node.entry.id());
            if (connectionFree && (firstChance >= 1 || random.nextDouble() < firstChance)) {
                if (coldBudget.tryAcquire(nowMs, node, subset.serversPerSlot())) {
                    return node;
                }
            } else if (fallback == null) {
                fallback = node;
            }
        }
        return fallback != null && coldBudget.tryAcquire(nowMs, fallback, subset.serversPerSlot()) ? fallback : null;
    }

    // The draws for a server: its drop share, and its failure share for this class.
    private boolean passesDraws(double nowMs, Call call, Node node) {
        double dropShare = 1
                - (1 - Math.max(node.dropShare, 1 - coldBudget.capacityShare(nowMs, node)))
                        * (1 - crowding.dropShare(nowMs, node));
        return random.nextDouble() >= worth.dropShare(call.level, dropShare)
                && node.failing.passes(call.request.classIndex, random);
    }

    // Sends the final answer without a further attempt: a refusal where a retry is known to do no harm, else a
    // failure.
    private void endWithoutAttempt(double nowMs, Call call) {
        call.ended = true;
        if (call.mayRefuse(nowMs)) {
            relief.refused++;
            actions.refuse(
                    call.request,
                    Math.min(
                            settings.limits().maxRetryAfter(),
                            call.requestClass.latencyTarget()
                                    * (MIN_RETRY_AFTER_SHARE + FULL_DROP_RETRY_AFTER_SHARE * subset.meanDropShare())
                                    * (0.75 + 0.5 * random.nextDouble())));
        } else {
            actions.fail(call.request);
        }
    }

    @Override
    public void outcome(
            double nowMs,
            Contract.Request request,
            int attemptIndex,
            Contract.Outcome outcome,
            double durationMs,
            boolean finished,
            Contract.Report report) {
        Call call = (Call) request.state;
        Attempt attempt = call == null ? null : call.inFlightAttempt(attemptIndex);
        if (attempt == null) {
            return;
        }
        Node node = attempt.node;
        if (outcome == Contract.Outcome.SERVED) {
            node.outstanding.recordServed(nowMs, attempt, Math.max(durationMs, lateness.usualMs(request.classIndex)));
        }
        node.outstanding.remove(attempt);
        node.reported.balanceSince--;
        node.reachability.recordOutcome(nowMs, periodMs, outcome);
        serverList.removeIfUnused(node);
        if (!outcome.neverRan && call.mayHaveRun == null) {
            call.mayHaveRun = attempt;
        }
        gradeOutcome(
                node,
                attempt,
                outcome,
                durationMs,
                request.classIndex,
                node.reported.excessLoad(report, node.sendRate));
        call.ended |= finished || outcome == Contract.Outcome.SERVED;
        if (call.ended) {
            return;
        }
        if (retries.tryAcquire(nowMs, call, outcome)) {
            startAttempt(nowMs, call);
        } else {
            endWithoutAttempt(nowMs, call);
        }
    }

    private void gradeOutcome(
            Node node,
            Attempt attempt,
            Contract.Outcome outcome,
            double durationMs,
            int classIndex,
            double excessLoad) {
        // While the server answers other classes in time, a time-out concerns its own class only, as an error does.
        boolean silentToClass = outcome == Contract.Outcome.TIMED_OUT
                && !attempt.laterOfClassServed
                && (attempt.laterServed && controller.answersInTime(node) || node.failing.failsMostly(classIndex));
        switch (silentToClass ? Contract.Outcome.ERROR : outcome) {
            case SERVED -> {
                node.failing.record(classIndex, settings.classes().size(), false);
                controller.record(node, lateness.degree(durationMs, classIndex));
                node.evidence.record(excessLoad, excessLoad > 0 ? Reported.REPORT_WEIGHT : 0);
                node.answeredWorkMs += lateness.usualMs(classIndex);
                coldBudget.recordAnswer(node);
                ceiling.answeredWork(
                        lateness.usualMs(classIndex),
                        settings.classes().get(classIndex).latencyTarget());
                lateness.recordAnswer(durationMs, classIndex);
                relief.answered++;
            }
            case FULL, TIMED_OUT -> controller.record(node, 1);
            case RESET -> controller.recordReset(node);
            // Concerns this server or the path to it, not load, so the subset's evidence is not affected.
            case CONNECT_FAILED -> node.evidence.record(1, 1);
            case ERROR -> node.failing.record(classIndex, settings.classes().size(), true);
            default -> {}
        }
    }

    @Override
    public void streaming(double nowMs, Contract.Request request, int attempt) {
        Call call = (Call) request.state;
        if (call != null) {
            call.ended = true;
        }
    }

    @Override
    public void abandoned(double nowMs, Contract.Request request) {
        Call call = (Call) request.state;
        if (call != null && !call.ended) {
            call.ended = true;
            // Only the last attempt of a request can be in flight.
            int last = call.attempts.size() - 1;
            if (call.inFlightAttempt(last) != null && settings.limits().cancel()) {
                actions.cancel(request, last);
            }
        }
    }

    @Override
    public void probed(
            double nowMs, String server, Contract.Outcome outcome, double durationMs, Contract.Report report) {
        Node node = serverList.nodes.get(server);
        if (node != null) {
            node.reported.recordProbe(nowMs, report);
        }
    }

    /** The drop share of a known server, from 0 to 1. */
    public double dropShare(String server) {
        return serverList.nodes.get(server).dropShare;
    }

    @Override
    public void message(double nowMs, int from, byte[] text) {}

    @Override
    public void wake(double nowMs) {
        double elapsedMs = Math.max(1, nowMs - lastWakeMs);
        lastWakeMs = nowMs;
        worth.endPeriod();
        lateness.endPeriod(relief.endPeriod(elapsedMs, subset.ranked), Math.max(0, nowMs - wakeAtMs));
        strain.endPeriod(nowMs - wakeAtMs, actions);
        for (Node node : subset.ranked) {
            node.endPeriod(elapsedMs);
            controller.updateDropShare(nowMs, node);
            node.failing.endPeriod();
        }
        if (subset.period()) {
            subset.pick(nowMs, serverList.nodes.values());
        }
        ceiling.endPeriod(elapsedMs);
        controller.endPeriod();
        coldBudget.endPeriod(nowMs, subset.ranked);
        subset.updateRelativeSizes();
        probes.endPeriod(nowMs, subset.ranked, crowding, actions);
        serverList.endPeriod(nowMs);
        wake(nowMs, 0.9 + 0.2 * random.nextDouble());
    }
}
