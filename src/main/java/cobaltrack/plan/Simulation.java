package cobaltrack.plan;

import cobaltrack.Contract;
import cobaltrack.decide.Decide;
import cobaltrack.engine.Ask;
import cobaltrack.engine.Caller;
import cobaltrack.engine.Carrier;
import cobaltrack.engine.Engine;
import cobaltrack.engine.Timers;
import cobaltrack.membership.EndpointList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Sidecars that run the real engine and decisions, before models of the fronts, under a calendar: a load
 * goes in, and what became of it comes out. The same fleet, load and seed give the same outcome to the bit.
 * What is drawn for one purpose has dice of its own, so that two fleets that differ in one thing meet the
 * same load (common random numbers). For one thread.
 */
public final class Simulation {
    /** Steps in which a cold front gets faster. */
    private static final double COLD_STEP = 200;
    /** After the last deadline, for what is under way. */
    private static final double TAIL = 1000;
    private static final double SECOND = 1000;
    /** Weight of an answer in the busy share and rate that a front reports. */
    private static final double REPORT_WEIGHT = 0.1;
    /** Keeps the seeds of different purposes apart: odd, from the golden ratio. */
    private static final long PURPOSE = 0x9E3779B97F4A7C15L;

    private final Fleet fleet;
    private final Calendar calendar = new Calendar();
    private final List<Front> fronts = new ArrayList<>();
    private final Map<String, Front> byName = new HashMap<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final double[] sharesTo;
    private final Random whose;
    private final Random work;
    private final Random clients;
    private final List<double[]> seconds = new ArrayList<>();
    private double lastAt;
    private long first;
    private long asked;
    private long good;
    private long late;
    private long refused;
    private long failed;
    private double worthAsked;
    private double worthGood;
    private long attempts;
    private long full;
    private long unconnected;
    private long placeless;
    private double handshakes;
    private double worked;

    /** A fleet that has seen no load; {@code fleet} has passed its check. */
    public Simulation(Fleet fleet, long seed) {
        this.fleet = fleet;
        this.whose = dice(seed, 1);
        this.work = dice(seed, 2);
        this.clients = dice(seed, 3);
        Machines machines = Machines.of(fleet, seed);
        for (Machines.Machine m : machines.all()) {
            Front f = new Front(m);
            fronts.add(f);
            byName.put(f.id, f);
        }
        sharesTo = new double[fleet.shares().size()];
        double sum = 0;
        for (int i = 0; i < sharesTo.length; i++) {
            sum += fleet.shares().get(i);
            sharesTo[i] = sum;
            sidecars.add(new Sidecar(i, seed * sharesTo.length + i));
        }
        for (int i = 0; i < fleet.changes().size(); i++) {
            befalls(fleet.changes().get(i), machines.met().get(i).stream().map(fronts::get).toList());
        }
        sidecars.forEach(Sidecar::start);
    }

    private static Random dice(long seed, int purpose) {
        return new Random(seed * PURPOSE + purpose);
    }

    private void befalls(Fleet.Change c, List<Front> met) {
        switch (c.kind()) {
            case SLOWED -> {
                calendar.at(c.from(), () -> met.forEach(f -> f.slow(c.speed())));
                calendar.at(c.to(), () -> met.forEach(f -> f.slow(1 / c.speed())));
            }
            case ZONE_LOST, ZONE_DIED -> {
                calendar.at(c.from(), () -> met.forEach(f -> f.lose(c.kind() == Fleet.Kind.ZONE_LOST)));
                calendar.at(c.from() + c.notice(), () -> tell(met));
                calendar.at(c.to(), () -> met.forEach(Front::back));
                calendar.at(c.to() + c.notice(), () -> tell(met));
            }
        }
    }

    private void tell(List<Front> changed) {
        sidecars.forEach(s -> s.engine.list(Contract.ListKind.CHANGES, list(changed, false)));
    }

    private static EndpointList list(List<Front> entries, boolean whole) {
        return new EndpointList(0, whole, entries.stream().map(f -> new EndpointList.Entry(f.entry(), null))
                .toList());
    }

    /**
     * Plays a load to its end, and what is still under way then to its own. Once only.
     *
     * @param load by time, not before 0
     */
    public Outcome play(Iterator<Arrival> load) {
        feed(load);
        double longest = fleet.settings().classes().stream().mapToDouble(Contract.RequestClass::deadline)
                .max().orElse(0);
        // Feeds itself: the calendar is never longer than what is under way.
        while (load.hasNext()) {
            calendar.runTo(calendar.now() + SECOND);
        }
        calendar.runTo(Math.max(calendar.now(), lastAt));
        double end = calendar.now();
        Outcome.Use use = use(end);
        calendar.runTo(end + fleet.clients().tries() * (longest + TAIL));
        double[] bySecond = seconds.stream().mapToDouble(s -> s[0] == 0 ? Double.NaN : s[1] / s[0]).toArray();
        return new Outcome(asked, good, late, refused, failed, worthAsked, worthGood, use, bySecond);
    }

    private void feed(Iterator<Arrival> load) {
        if (load.hasNext()) {
            Arrival a = load.next();
            lastAt = Math.max(lastAt, a.at());
            calendar.at(a.at(), () -> {
                ask(sidecar(), a, 1);
                feed(load);
            });
        }
    }

    private Sidecar sidecar() {
        int i = Arrays.binarySearch(sharesTo, whose.nextDouble());
        return sidecars.get(Math.min(sidecars.size() - 1, i < 0 ? -i - 1 : i));
    }

    private Outcome.Use use(double span) {
        double busy = 0;
        double cores = 0;
        for (Front f : fronts) {
            busy += f.core.coreTime();
            cores += f.model.cores() * span;
        }
        double sidecar = sidecars.stream().mapToDouble(s -> s.worked).max().orElse(0);
        return new Outcome.Use(span == 0 ? 0 : busy / cores, part(full, attempts), part(unconnected,
                attempts),
                worked == 0 ? 0 : handshakes / worked, span == 0 ? 0 : sidecar / span, part(placeless, asked),
                first == 0 ? 0 : (double) asked / first - 1);
    }

    private static double part(long of, long all) {
        return all == 0 ? 0 : (double) of / all;
    }

    private void ask(Sidecar sidecar, Arrival a, int tries) {
        Try t = new Try(sidecar, a, tries);
        asked++;
        first += tries == 1 ? 1 : 0;
        worthAsked += t.type.worth();
        second(t.askedAt)[0] += t.type.worth();
        sidecar.arrives(t);
    }

    private double[] second(double at) {
        int i = (int) (at / SECOND);
        while (seconds.size() <= i) {
            seconds.add(new double[2]);
        }
        return seconds.get(i);
    }

    /** One try of a client. */
    private final class Try implements Caller<Front> {
        private final Sidecar sidecar;
        private final Arrival arrival;
        private final int tries;
        private final Contract.RequestClass type;
        private final double askedAt = calendar.now();

        private Try(Sidecar sidecar, Arrival arrival, int tries) {
            this.sidecar = sidecar;
            this.arrival = arrival;
            this.tries = tries;
            this.type = fleet.settings().classes().get(arrival.kind());
        }

        @Override
        public void served(Front by) {
            sidecar.held--;
            boolean inTime = calendar.now() - askedAt <= type.aim();
            double got = type.worth() * (inTime ? 1 : type.lateWorth());
            good += inTime ? 1 : 0;
            late += inTime ? 0 : 1;
            worthGood += got;
            second(askedAt)[1] += got;
        }

        @Override
        public void refused(double retryAfter) {
            sidecar.held--;
            refused++;
            again(retryAfter);
        }

        @Override
        public void failed() {
            sidecar.held--;
            failed++;
            again(0);
        }

        private void again(double retryAfter) {
            if (tries < fleet.clients().tries()) {
                boolean honours = retryAfter > 0 && clients.nextDouble() < fleet.clients().honour();
                double wait = honours ? retryAfter : fleet.clients().backOff() * (1L << (tries - 1))
                        * (0.5 + 0.5 * clients.nextDouble());
                calendar.after(wait, () -> ask(sidecar, arrival, tries + 1));
            }
        }
    }

    /** One attempt on its way to a front and back, on a connection. */
    private final class Link implements Carrier.Sending {
        private final Sidecar sidecar;
        private final Front front;
        private final Carrier.Outcomes<Front> told;
        private final int life;
        private FrontModel.Visit visit;
        private boolean open;
        private boolean written;
        private boolean over;

        private Link(Sidecar sidecar, Front front, Carrier.Outcomes<Front> told) {
            this.sidecar = sidecar;
            this.front = front;
            this.told = told;
            this.life = front.lives;
        }

        private void send(int kind, boolean reused) {
            open = true;
            written = reused;
            Fleet.Work asks = fleet.work().get(kind);
            double core = asks.core().draw(work) + (reused ? 0 : fleet.front().handshake());
            double away = asks.away().draw(work);
            worked += core;
            double way = front.zone.way();
            // A new connection is a way there and back before the request.
            calendar.after(reused ? 0 : 2 * way, () -> {
                written = true;
                calendar.after(way, () -> reaches(core, away));
            });
        }

        private void reaches(double core, double away) {
            if (over || gone()) {
                return;
            }
            FrontModel.Visit v = front.core.arrives(core, end -> {
                switch (end) {
                    case DONE -> {
                        front.answered();
                        calendar.after(away, () -> answer(Contract.Outcome.SERVED));
                    }
                    case FULL -> {
                        full++;
                        answer(Contract.Outcome.FULL);
                    }
                    case LOST -> gone();
                }
            });
            visit = front.core.holds(v) ? v : null;
        }

        // Whether its front is not the one that it set out for; one that says so resets the connection.
        private boolean gone() {
            boolean gone = front.lives != life || front.lost;
            if (gone && !front.silent) {
                calendar.after(front.zone.way(), () -> ends(Contract.Outcome.RESET));
            }
            return gone;
        }

        private void answer(Contract.Outcome how) {
            visit = null;
            if (!gone()) {
                calendar.after(front.zone.way(), () -> ends(how));
            }
        }

        private void ends(Contract.Outcome how) {
            if (!over) {
                close(how == Contract.Outcome.SERVED || how == Contract.Outcome.FULL);
                told.ended(how, how == Contract.Outcome.SERVED ? front : null, front.report());
            }
        }

        // A connection is used again after an answer that came whole.
        private void close(boolean whole) {
            over = true;
            if (open) {
                sidecar.release(front, life, whole);
            }
        }

        @Override
        public boolean giveUp() {
            if (!over) {
                close(false);
                if (visit != null && fleet.front().cancelStops()) {
                    front.core.leaves(visit);
                }
            }
            return written;
        }
    }

    /** A front: its cores, its machine's speed, its connections, and whether it is there. */
    private final class Front {
        private final String id;
        private final Fleet.Model model;
        private final Fleet.Zone zone;
        private final double own;
        private final FrontModel core;
        private double slowed = 1;
        private double bornAt;
        private int connections;
        private int lives;
        private boolean lost;
        private boolean silent;
        private double util;
        private double gap;
        private double lastAnswer;

        private Front(Machines.Machine machine) {
            this.id = machine.id();
            this.model = machine.model();
            this.zone = machine.zone();
            this.own = machine.speed();
            Fleet.Front f = fleet.front();
            this.core = new FrontModel(calendar, model.cores(), f.sharing(),
                    (int) Math.min(Integer.MAX_VALUE, Math.round(f.roomPerCore() * model.cores())),
                    f.thrashAbove() == 0 ? FrontModel.Thrash.NONE : new FrontModel.Thrash(
                            f.thrashAbove() * model.cores(), f.thrashSpeed(),
                            f.thrashUntil() * model.cores()));
            pace();
        }

        private Contract.Server entry() {
            return new Contract.Server(id, lost ? Contract.Standing.GONE : Contract.Standing.UP, 1,
                    zone.name(), 0,
                    bornAt);
        }

        private void slow(double times) {
            slowed *= times;
            pace();
        }

        private void pace() {
            double age = bornAt == 0 ? fleet.front().coldTime() : calendar.now() - bornAt;
            double cold = fleet.front().coldTime() == 0 ? 1 : Math.min(1, fleet.front().coldShare()
                    + (1 - fleet.front().coldShare()) * age / fleet.front().coldTime());
            core.speed(own * slowed * cold);
            if (cold < 1) {
                calendar.at(calendar.now() + COLD_STEP, this::pace);
            }
        }

        private void lose(boolean silently) {
            lost = true;
            silent = silently;
            lives++;
            connections = 0;
            core.lose();
            sidecars.forEach(s -> s.dropped(this));
        }

        private void back() {
            lost = false;
            bornAt = calendar.now();
            pace();
        }

        private void answered() {
            util += ((double) Math.min(model.cores(),
                    core.held() + 1) / model.cores() - util) * REPORT_WEIGHT;
            gap += (calendar.now() - lastAnswer - gap) * REPORT_WEIGHT;
            lastAnswer = calendar.now();
        }

        private Contract.Report report() {
            return fleet.settings().reporting() != Contract.Reporting.WITH_ANSWERS || gap <= 0 ? null
                    : new Contract.Report(Double.NaN, Double.NaN, util, Double.NaN, SECOND / gap, 0);
        }
    }

    /** A sidecar: the engine with the decisions, its connections, its processor and its places. */
    private final class Sidecar implements Timers {
        private final Engine engine;
        private final Map<Front, ArrayDeque<Double>> free = new HashMap<>();
        private int held;
        private int lines;
        private double busyUntil;
        private double worked;

        private Sidecar(int ordinal, long seed) {
            Contract.Settings s = fleet.settings();
            Contract.Settings mine = new Contract.Settings(s.classes(), s.tenants(), s.overShareWorth(),
                    s.limits(),
                    s.obligations(), s.reporting(), false, s.sidecars(), ordinal);
            engine = new Engine(this, mine, out -> new Decide(mine, seed, out), list -> { }, line -> { });
        }

        private void start() {
            // What the list tells later is told by the changes.
            engine.start(() -> { }, null);
            engine.list(Contract.ListKind.FULL, list(fronts, true));
        }

        @Override
        public double now() {
            return calendar.now();
        }

        // Its own lateness is what its processor still has to do.
        @Override
        public Timer after(double millis, Runnable task) {
            return calendar.at(Math.max(calendar.now() + millis, busyUntil), task);
        }

        private void arrives(Try t) {
            held++;
            if (held > fleet.sidecar().places()) {
                placeless++;
                t.failed();
                return;
            }
            // Its processor takes requests in turn.
            double work = fleet.sidecar().work();
            busyUntil = Math.max(busyUntil, calendar.now()) + work;
            worked += work;
            calendar.at(busyUntil, () -> take(t));
        }

        private void take(Try t) {
            double left = t.askedAt + t.type.deadline() - calendar.now();
            if (left <= 0) {
                t.failed();
                return;
            }
            double room = 1 - (double) held / fleet.sidecar().places();
            int kind = t.arrival.kind();
            engine.take(new Ask(kind, t.arrival.tenant(), left, t.arrival.repeat() || t.tries > 1, room, 0),
                    new Carrier<Front>() {
                        @Override
                        public Sending send(String endpoint, int attempt, double within,
                                Outcomes<Front> told) {
                            return Sidecar.this.send(kind, byName.get(endpoint), told);
                        }

                        @Override
                        public boolean connected(String endpoint) {
                            return hasFree(byName.get(endpoint));
                        }
                    }, t);
        }

        private Link send(int kind, Front f, Carrier.Outcomes<Front> told) {
            Link link = new Link(this, f, told);
            attempts++;
            if (f.lost) {
                fails(link, f.silent ? fleet.sidecar().connectTimeout() : 2 * f.zone.way());
            } else if (hasFree(f)) {
                free.get(f).pollLast();
                link.send(kind, true);
            } else if (f.connections >= fleet.front().connections() || !makeRoom()) {
                unconnected++;
                fails(link, 2 * f.zone.way());
            } else {
                lines++;
                f.connections++;
                handshakes += fleet.front().handshake();
                link.send(kind, false);
            }
            return link;
        }

        private void fails(Link link, double after) {
            calendar.after(after, () -> link.ends(Contract.Outcome.CONNECT_FAILED));
        }

        private boolean hasFree(Front f) {
            ArrayDeque<Double> mine = free.get(f);
            while (mine != null && !mine.isEmpty()
                    && mine.peekFirst() < calendar.now() - fleet.sidecar().idle()) {
                mine.pollFirst();
                closed(f, f.lives);
            }
            return mine != null && !mine.isEmpty();
        }

        private void closed(Front f, int life) {
            lines--;
            f.connections -= f.lives == life ? 1 : 0;
        }

        private void release(Front f, int life, boolean whole) {
            if (whole && f.lives == life) {
                free.computeIfAbsent(f, k -> new ArrayDeque<>()).addLast(calendar.now());
            } else {
                closed(f, life);
            }
        }

        private void dropped(Front f) {
            ArrayDeque<Double> mine = free.remove(f);
            lines -= mine == null ? 0 : mine.size();
        }

        private boolean makeRoom() {
            if (lines < fleet.sidecar().connections()) {
                return true;
            }
            Front oldest = null;
            for (Map.Entry<Front, ArrayDeque<Double>> e : free.entrySet()) {
                if (!e.getValue().isEmpty() && (oldest == null
                        || older(e.getValue().peekFirst(), e.getKey(), oldest))) {
                    oldest = e.getKey();
                }
            }
            if (oldest == null) {
                return false;
            }
            free.get(oldest).pollFirst();
            closed(oldest, oldest.lives);
            return true;
        }

        // By time, and then by name: the order of a map must not show.
        private boolean older(double since, Front f, Front than) {
            double other = free.get(than).peekFirst();
            return since < other || since == other && f.id.compareTo(than.id) < 0;
        }
    }
}
