package whinlead.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import whinlead.Contract;

/**
 * One sidecar's decisions under a driven clock: stand-in endpoints, open-loop clients and the four rules, with no
 * socket, thread or real time. The same seed gives the same day.
 */
public final class DrivenDay implements Contract.Actions {
    /** Makes the decisions under test. */
    @FunctionalInterface
    public interface Policy {
        /** The decisions of one sidecar, which act by {@code out}. */
        Contract.Events make(Contract.Settings settings, long seed, Contract.Actions out);
    }

    /** Each way between the sidecar and an endpoint. */
    private static final double WAY_MS = 0.05;
    /** After this the last requests have ended. */
    private static final double TAIL_MS = 200;

    private static final class Held {
        final Contract.Request request;
        final int tries;
        final Load load;
        final double endAt;
        final List<Boolean> attemptsEnded = new ArrayList<>();
        boolean over;

        Held(Contract.Request request, Load load, int tries, double endAt) {
            this.request = request;
            this.load = load;
            this.tries = tries;
            this.endAt = endAt;
        }
    }

    private final Contract.Settings settings;
    private final DrivenClock clock = new DrivenClock();
    private final Ledger ledger;
    private final Map<String, DrivenEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<Long, Held> held = new HashMap<>();
    private final Random dice;
    private final Contract.Events module;
    private final double length;
    private final double jitter;
    private long nextId;

    /**
     * A day.
     *
     * @param length milliseconds for which clients ask
     * @param jitter the longest that the sidecar's loop is late to hear of an answer or its own timer, drawn evenly for
     *     each; milliseconds
     */
    public DrivenDay(
            Contract.Settings settings,
            Policy policy,
            List<EndpointScript> fleet,
            List<Load> loads,
            double length,
            double jitter,
            long seed) {
        this.settings = settings;
        this.length = length;
        this.jitter = jitter;
        this.dice = new Random(seed);
        this.ledger = new Ledger(settings.classes());
        this.module = policy.make(settings, seed, this);
        module.start(0);
        List<Contract.Server> list = new ArrayList<>();
        for (EndpointScript e : fleet) {
            endpoints.put(e.id(), new DrivenEndpoint(e, clock, dice.nextLong()));
            list.add(new Contract.Server(e.id(), Contract.ServerState.UP, 1, "z", 0, 0));
        }
        module.servers(0, Contract.ListKind.FULL, list);
        loads.forEach(this::next);
    }

    /** Plays it, and gives what became of every request. */
    public Ledger play() {
        double longest = settings.classes().stream()
                .mapToDouble(Contract.RequestClass::deadline)
                .max()
                .orElse(0);
        clock.runTo(length + Habit.FURTHER_TRIES * longest + longest + TAIL_MS);
        return ledger;
    }

    // Thinning: candidates at the highest rate, of which the share that is due is taken.
    private void next(Load load) {
        double at = clock.nowMs() - Math.log(1 - dice.nextDouble()) * 1000 / load.most();
        if (at < length) {
            clock.at(at, () -> {
                if (dice.nextDouble() * load.most() < load.perSecond().at(clock.nowMs())) {
                    ask(load, 1);
                }
                next(load);
            });
        }
    }

    private void ask(Load load, int tries) {
        double now = clock.nowMs();
        double deadline = settings.classes().get(load.classIndex()).deadline();
        Contract.Request r = new Contract.Request(nextId++, load.classIndex(), -1, deadline, tries > 1);
        Held h = new Held(r, load, tries, now + deadline);
        held.put(r.id, h);
        ledger.asked(r.id, load.classIndex(), now, h.endAt);
        clock.at(h.endAt + TAIL_MS / 2, () -> held.remove(r.id));
        module.request(now, r);
    }

    private void end(Held h, Ledger.End end, double retryAfter) {
        h.over = true;
        ledger.ended(h.request.id, end, clock.nowMs());
        double wait = end == Ledger.End.SERVED ? Double.NaN : h.load.habit().wait(h.tries, retryAfter, dice);
        if (!Double.isNaN(wait)) {
            clock.at(clock.nowMs() + wait, () -> ask(h.load, h.tries + 1));
        }
    }

    private double late() {
        return jitter * dice.nextDouble();
    }

    @Override
    public void send(Contract.Request request, String server, double within) {
        Held h = held.get(request.id);
        int attempt = h.attemptsEnded.size();
        double sentAt = clock.nowMs();
        h.attemptsEnded.add(false);
        double wait = within > 0 ? Math.min(within, h.endAt - sentAt) : h.endAt - sentAt;
        clock.at(sentAt + wait, () -> ended(h, attempt, sentAt, Contract.Outcome.TIMED_OUT));
        clock.at(
                sentAt + WAY_MS,
                () -> endpoints.get(server).arrives(new DrivenEndpoint.Visitor() {
                    @Override
                    public int classIndex() {
                        return request.classIndex;
                    }

                    @Override
                    public void begins() {
                        ledger.ran(request.id);
                    }

                    @Override
                    public void ends(DrivenEndpoint.End end) {
                        clock.at(
                                clock.nowMs() + WAY_MS + late(),
                                () -> ended(
                                        h,
                                        attempt,
                                        sentAt,
                                        switch (end) {
                                            case DONE -> Contract.Outcome.SERVED;
                                            case FULL -> Contract.Outcome.FULL;
                                            case REFUSED -> Contract.Outcome.CONNECT_FAILED;
                                            case RESET -> Contract.Outcome.RESET;
                                        }));
                    }
                }));
    }

    private void ended(Held h, int attempt, double sentAt, Contract.Outcome outcome) {
        if (h.attemptsEnded.get(attempt)) {
            return;
        }
        h.attemptsEnded.set(attempt, true);
        if (outcome == Contract.Outcome.SERVED && !h.over) {
            end(h, Ledger.End.SERVED, 0);
        }
        module.outcome(clock.nowMs(), h.request, attempt, outcome, clock.nowMs() - sentAt, h.over, null);
    }

    @Override
    public void cancel(Contract.Request request, int attempt) {
        Held h = held.get(request.id);
        clock.at(clock.nowMs(), () -> ended(h, attempt, clock.nowMs(), Contract.Outcome.CANCELLED));
    }

    @Override
    public void refuse(Contract.Request request, double retryAfter) {
        end(held.get(request.id), Ledger.End.REFUSED, retryAfter);
    }

    @Override
    public void fail(Contract.Request request) {
        end(held.get(request.id), Ledger.End.FAILED, 0);
    }

    @Override
    public void probe(String server) {
        throw new IllegalStateException("a probe where the settings allow none");
    }

    @Override
    public void watchServers() {
        // The list does not change.
    }

    @Override
    public void sendToPeers(byte[] text) {
        throw new IllegalStateException("a message where the settings allow none");
    }

    @Override
    public void wake(double at) {
        clock.at(at + late(), () -> module.wake(clock.nowMs()));
    }

    @Override
    public void log(String line) {
        // Nobody is on call.
    }
}
