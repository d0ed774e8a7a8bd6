package cobaltrack.plan;

import cobaltrack.Contract;
import cobaltrack.decide.Decide;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Sidecars that run the real decisions, before models of the fronts, under a calendar: a load goes in, and
 * what became of it comes out. The same fleet, load and seed give the same outcome to the bit. What is drawn
 * for one purpose has dice of its own, so that two fleets that differ in one thing meet the same load
 * (common random numbers). For one thread.
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
    private long tried;
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
                calendar.at(c.to(), () -> met.forEach(f -> f.slow(1)));
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
        List<Contract.Server> entries = changed.stream().map(Front::entry).toList();
        sidecars.forEach(s -> s.module.servers(calendar.now(), Contract.ListKind.CHANGES, entries));
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
        double busiest = 0;
        for (Front f : fronts) {
            double mine = f.core.coreTime();
            busy += mine;
            cores += f.model.cores() * span;
            busiest = Math.max(busiest, span == 0 ? 0 : mine / (f.model.cores() * span));
        }
        double sidecar = sidecars.stream().mapToDouble(s -> s.worked).max().orElse(0);
        return new Outcome.Use(span == 0 ? 0 : busy / cores, busiest, part(full, attempts),
                part(unconnected, attempts),
                worked == 0 ? 0 : handshakes / worked, span == 0 ? 0 : sidecar / span, part(placeless, asked),
                tried == 0 ? 0 : (double) attempts / tried - 1, first == 0 ? 0 : (double) asked / first - 1);
    }

    private static double part(long of, long all) {
        return all == 0 ? 0 : (double) of / all;
    }

    private void ask(Sidecar sidecar, Arrival a, int tries) {
        Contract.RequestClass type = fleet.settings().classes().get(a.kind());
        Try t = new Try(sidecar, a, tries, type, calendar.now());
        asked++;
        first += tries == 1 ? 1 : 0;
        worthAsked += type.worth();
        second(t.askedAt)[0] += type.worth();
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
    private final class Try {
        private final Sidecar sidecar;
        private final Arrival arrival;
        private final int tries;
        private final Contract.RequestClass type;
        private final double askedAt;
        private final double endAt;
        private final List<Attempt> attempts = new ArrayList<>();
        private Contract.Request request;
        private Calendar.Due deadline;
        private boolean over;

        private Try(Sidecar sidecar, Arrival arrival, int tries, Contract.RequestClass type, double now) {
            this.sidecar = sidecar;
            this.arrival = arrival;
            this.tries = tries;
            this.type = type;
            this.askedAt = now;
            this.endAt = now + type.deadline();
        }

        private void served() {
            boolean inTime = calendar.now() - askedAt <= type.aim();
            double got = type.worth() * (inTime ? 1 : type.lateWorth());
            good += inTime ? 1 : 0;
            late += inTime ? 0 : 1;
            worthGood += got;
            second(askedAt)[1] += got;
            over();
        }

        private void unserved(boolean told, double retryAfter) {
            refused += told ? 1 : 0;
            failed += told ? 0 : 1;
            over();
            if (tries < fleet.clients().tries()) {
                boolean honours = retryAfter > 0 && clients.nextDouble() < fleet.clients().honour();
                double wait = honours ? retryAfter : fleet.clients().backOff() * (1L << (tries - 1))
                        * (0.5 + 0.5 * clients.nextDouble());
                calendar.at(calendar.now() + wait, () -> ask(sidecar, arrival, tries + 1));
            }
        }

        private void over() {
            over = true;
            if (deadline != null) {
                deadline.cancel();
            }
            forgetIfDone();
        }

        private void forgetIfDone() {
            if (over && request != null && attempts.stream().allMatch(a -> a.over)) {
                sidecar.open.remove(request.id);
            }
        }
    }

    /** One attempt of a try at a front. */
    private final class Attempt {
        private final Try of;
        private final int index;
        private final Front front;
        private final double sentAt = calendar.now();
        private FrontModel.Visit visit;
        private Calendar.Due timeOut;
        private boolean linked;
        private int life;
        private boolean over;

        private Attempt(Try of, int index, Front front) {
            this.of = of;
            this.index = index;
            this.front = front;
        }

        private void ends(Contract.Outcome how) {
            if (over) {
                return;
            }
            over = true;
            if (timeOut != null) {
                timeOut.cancel();
            }
            if (linked) {
                // A connection is used again after an answer that came whole.
                of.sidecar.release(this, how == Contract.Outcome.SERVED || how == Contract.Outcome.FULL);
            }
            if (visit != null && fleet.front().cancelStops()) {
                front.core.leaves(visit);
            }
            if (how == Contract.Outcome.SERVED && !of.over) {
                of.sidecar.left();
                of.served();
            }
            of.sidecar.module.outcome(calendar.now(), of.request, index, how, calendar.now() - sentAt,
                    of.over,
                    front.report());
            of.forgetIfDone();
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

        private void slow(double to) {
            slowed = to;
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

        private void lose(boolean says) {
            lost = true;
            silent = says;
            core.lose();
            sidecars.forEach(s -> s.dropped(this));
            connections = 0;
            lives++;
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

    /** A sidecar: the decisions, its connections, its processor and its places. */
    private final class Sidecar implements Contract.Actions {
        private final Contract.Events module;
        private final Map<Long, Try> open = new HashMap<>();
        private final Map<Front, ArrayDeque<Double>> free = new HashMap<>();
        private long ids;
        private int held;
        private int lines;
        private double busyUntil;
        private double worked;

        private Sidecar(int ordinal, long seed) {
            Contract.Settings s = fleet.settings();
            module = new Decide(new Contract.Settings(s.classes(), s.tenants(), s.overShareWorth(),
                    s.limits(),
                    s.obligations(), s.reporting(), false, s.sidecars(), ordinal), seed, this);
        }

        private void start() {
            module.start(calendar.now());
            module.servers(calendar.now(), Contract.ListKind.FULL,
                    fronts.stream().map(Front::entry).toList());
        }

        private void arrives(Try t) {
            if (held >= fleet.sidecar().places()) {
                placeless++;
                t.unserved(false, 0);
                return;
            }
            held++;
            // Its processor takes requests in turn.
            double work = fleet.sidecar().work();
            busyUntil = Math.max(busyUntil, calendar.now()) + work;
            worked += work;
            calendar.at(busyUntil, () -> take(t));
        }

        private void take(Try t) {
            double left = t.endAt - calendar.now();
            if (left <= 0) {
                left();
                t.unserved(false, 0);
                return;
            }
            double room = 1 - (double) held / fleet.sidecar().places();
            t.request = new Contract.Request(ids++, t.arrival.kind(), t.arrival.tenant(), left,
                    t.arrival.repeat() || t.tries > 1, Math.max(0, room));
            open.put(t.request.id, t);
            t.deadline = calendar.at(t.endAt, () -> {
                if (!t.over) {
                    left();
                    t.unserved(false, 0);
                }
            });
            module.request(calendar.now(), t.request);
        }

        private void left() {
            held--;
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

        private void release(Attempt a, boolean whole) {
            if (whole && a.front.lives == a.life) {
                free.computeIfAbsent(a.front, k -> new ArrayDeque<>()).addLast(calendar.now());
            } else {
                closed(a.front, a.life);
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

        @Override
        public boolean connected(Contract.Request request, String server) {
            return hasFree(byName.get(server));
        }

        @Override
        public void send(Contract.Request request, String server, double within) {
            Try t = open.get(request.id);
            Front f = byName.get(server);
            Attempt a = new Attempt(t, t.attempts.size(), f);
            t.attempts.add(a);
            attempts++;
            tried += t.attempts.size() == 1 ? 1 : 0;
            double now = calendar.now();
            double wait = Math.min(within > 0 ? within : Double.MAX_VALUE, t.endAt - now);
            boolean reused = hasFree(f);
            if (f.lost) {
                double fails = Math.min(wait, f.silent ? fleet.sidecar().connectTimeout() : 2 * f.zone.way());
                calendar.at(now + fails, () -> a.ends(Contract.Outcome.CONNECT_FAILED));
                return;
            }
            if (reused) {
                free.get(f).pollLast();
            } else if (f.connections >= fleet.front().connections() || !makeRoom()) {
                unconnected++;
                calendar.at(now + 2 * f.zone.way(), () -> a.ends(Contract.Outcome.CONNECT_FAILED));
                return;
            } else {
                lines++;
                f.connections++;
                handshakes += fleet.front().handshake();
            }
            a.linked = true;
            a.life = f.lives;
            a.timeOut = calendar.at(now + wait, () -> a.ends(Contract.Outcome.TIMED_OUT));
            Fleet.Work asks = fleet.work().get(request.classIndex);
            double core = asks.core().draw(work) + (reused ? 0 : fleet.front().handshake());
            double away = asks.away().draw(work);
            Simulation.this.worked += core;
            // A new connection is a way there and back before the request.
            calendar.at(now + f.zone.way() * (reused ? 1 : 3), () -> reaches(a, core, away));
        }

        private void reaches(Attempt a, double core, double away) {
            if (a.over || a.front.lives != a.life) {
                return;
            }
            FrontModel.Visit v = a.front.core.arrives(core, new FrontModel.Visitor() {
                @Override
                public void begins() {
                    // Whether it ran is the rule checkers' concern, on sockets.
                }

                @Override
                public void ends(FrontModel.End end) {
                    a.visit = null;
                    switch (end) {
                        case DONE -> {
                            a.front.answered();
                            answer(a, away, Contract.Outcome.SERVED);
                        }
                        case FULL -> {
                            full++;
                            answer(a, 0, Contract.Outcome.FULL);
                        }
                        case LOST -> {
                            if (!a.front.silent) {
                                calendar.at(calendar.now() + a.front.zone.way(),
                                        () -> a.ends(Contract.Outcome.RESET));
                            }
                        }
                    }
                }
            });
            if (!a.over && a.front.core.holds(v)) {
                a.visit = v;
            }
        }

        private void answer(Attempt a, double away, Contract.Outcome how) {
            calendar.at(calendar.now() + away + a.front.zone.way(), () -> {
                if (a.front.lives == a.life) {
                    a.ends(how);
                }
            });
        }

        @Override
        public void cancel(Contract.Request request, int attempt) {
            Try t = open.get(request.id);
            if (t != null) {
                Attempt a = t.attempts.get(attempt);
                calendar.at(calendar.now(), () -> a.ends(Contract.Outcome.CANCELLED));
            }
        }

        @Override
        public void refuse(Contract.Request request, double retryAfter) {
            end(request, true, fleet.settings().limits().retryAfter() ? retryAfter : 0);
        }

        @Override
        public void fail(Contract.Request request) {
            end(request, false, 0);
        }

        private void end(Contract.Request request, boolean told, double retryAfter) {
            Try t = open.get(request.id);
            if (t != null && !t.over) {
                left();
                t.unserved(told, retryAfter);
            }
        }

        @Override
        public void probe(String server) {
            // Not modelled: the settings of a plan allow none.
        }

        @Override
        public void watchServers() {
            // Told by the changes.
        }

        @Override
        public void tellPeers(byte[] text) {
            // The module says nothing to its peers.
        }

        @Override
        public void wake(double at) {
            // Its own lateness is what its processor still has to do.
            calendar.at(Math.max(at, busyUntil), () -> module.wake(calendar.now()));
        }

        @Override
        public void log(String line) {
            // Nobody is on call.
        }
    }
}
