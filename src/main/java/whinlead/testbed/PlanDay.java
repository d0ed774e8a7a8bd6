package whinlead.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.StreamSupport;
import whinlead.Contract;
import whinlead.plan.Arrival;
import whinlead.plan.Distribution;
import whinlead.plan.Fleet;
import whinlead.plan.Load;
import whinlead.plan.Machines;
import whinlead.plan.Outcome;
import whinlead.plan.Simulation;

/**
 * One description played twice: by the planner's simulation, and by real sidecars before stand-in fronts on sockets
 * that follow the same description. The stand-ins' queues are their own, so this checks the planner's.
 */
final class PlanDay {
    /** The stand-in clients' load rises evenly over their first second; the planner is told so in steps. */
    private static final int RAMP_STEPS = 20;

    private static final double RAMP = 1000;
    /** Times of the stand-ins' clients, which the planner is told of. */
    private static final double BACK_OFF = 100;

    /** What became of it: shares of the worth, and of the tries. */
    record Result(double worth, double refused, double late) {}

    private final Fleet fleet;
    private final Load load;
    private final Habit habit;

    /** A day. What clients do is by their habit, whatever the description says of it. */
    PlanDay(Fleet fleet, Load load, Habit habit) {
        this.habit = habit;
        this.load = load;
        int tries = habit == Habit.NONE ? 1 : 1 + Habit.FURTHER_TRIES;
        this.fleet = fleet.with(
                new Fleet.Clients(tries, habit == Habit.AT_ONCE ? 0 : BACK_OFF, habit == Habit.RETRY_AFTER ? 1 : 0));
    }

    /** What the planner says. */
    Result predict(long seed) {
        List<Load.Burst> bursts = new ArrayList<>(load.bursts());
        for (int i = 0; i < RAMP_STEPS; i++) {
            bursts.add(new Load.Burst(i * RAMP / RAMP_STEPS, (i + 1) * RAMP / RAMP_STEPS, (i + 0.5) / RAMP_STEPS));
        }
        Load ramped = new Load(load.perSecond(), load.mix(), bursts, load.lengthMs());
        return predict(seed, ramped.arrivals(seed));
    }

    /**
     * What sidecars and stand-ins do. Blocks for as long as the load is.
     *
     * @throws IOException if a sidecar does not start
     */
    Result measure(long seed) throws IOException {
        List<SocketDay.Asked> asked = new ArrayList<>();
        double most = load.bursts().stream()
                .mapToDouble(b -> Math.max(1, b.rateFactor()))
                .reduce(1, (a, b) -> a * b);
        for (double share : fleet.shares()) {
            List<whinlead.testbed.Load> mine = new ArrayList<>();
            for (int k = 0; k < load.mix().size(); k++) {
                double part = share * load.mix().get(k);
                mine.add(new whinlead.testbed.Load(
                        k, now -> load.ratePerSecond(now) * part, load.perSecond() * part * most, habit));
            }
            asked.add(SocketDay.Asked.of(mine));
        }
        return measure(seed, asked, load.lengthMs());
    }

    /** What the planner says of a load whose arrivals are given. */
    Result predict(long seed, Iterator<Arrival> arrivals) {
        return result(new Simulation(fleet, seed).run(arrivals));
    }

    /**
     * What sidecars and stand-ins make of a load whose arrivals are given.
     *
     * @param arrivals gives them anew, once for each sidecar, which takes its share of them
     * @param length until the last, in milliseconds
     * @throws IOException if a sidecar does not start
     */
    Result measure(long seed, Supplier<Iterator<Arrival>> arrivals, double length) throws IOException {
        List<SocketDay.Asked> asked = new ArrayList<>();
        for (int i = 0; i < fleet.shares().size(); i++) {
            asked.add(new SocketDay.Asked(List.of(), share(arrivals.get(), i, seed), habit));
        }
        return measure(seed, asked, length);
    }

    // Every sidecar draws the same for each arrival, so each arrival is one's.
    private Iterator<Arrival> share(Iterator<Arrival> all, int sidecar, long seed) {
        Random whose = new Random(seed);
        Iterable<Arrival> once = () -> all;
        return StreamSupport.stream(once.spliterator(), false)
                .filter(a -> {
                    double left = whose.nextDouble();
                    int to = 0;
                    while (to < fleet.shares().size() - 1
                            && left >= fleet.shares().get(to)) {
                        left -= fleet.shares().get(to++);
                    }
                    return to == sidecar;
                })
                .iterator();
    }

    private Result measure(long seed, List<SocketDay.Asked> asked, double length) throws IOException {
        Machines machines = Machines.of(fleet, seed);
        List<EndpointScript> fronts = new ArrayList<>();
        List<SocketDay.Notice> notices = new ArrayList<>();
        for (int i = 0; i < machines.all().size(); i++) {
            fronts.add(front(machines, i, notices));
        }
        Ledger ledger = new SocketDay(fleet.settings(), fronts, asked, notices, length, seed).play();
        if (!ledger.broken().isEmpty()) {
            throw new IOException("broken rules: " + ledger.broken());
        }
        return result(ledger);
    }

    private static Result result(Outcome o) {
        return new Result(o.worth(), o.refusedShare(), o.lateShare());
    }

    private Result result(Ledger ledger) {
        double asked = 0;
        double got = 0;
        double late = 0;
        List<Contract.RequestClass> classes = fleet.settings().classes();
        for (int k = 0; k < classes.size(); k++) {
            Ledger.Count c = ledger.count(0, Double.MAX_VALUE, k);
            asked += c.asked() * classes.get(k).worth();
            got += (c.good() + (c.served() - c.good()) * classes.get(k).lateWorth())
                    * classes.get(k).worth();
            late += c.served() - c.good();
        }
        Ledger.Count all = ledger.count(0, Double.MAX_VALUE);
        return new Result(got / asked, all.refusedShare(), late / all.asked());
    }

    private EndpointScript front(Machines machines, int i, List<SocketDay.Notice> notices) {
        Machines.Machine m = machines.all().get(i);
        List<Fleet.Change> slowed = new ArrayList<>();
        List<EndpointScript.Fault> faults = new ArrayList<>();
        double bornAt = Double.NEGATIVE_INFINITY;
        for (int c = 0; c < fleet.changes().size(); c++) {
            Fleet.Change change = fleet.changes().get(c);
            if (!machines.affected().get(c).contains(i)) {
                continue;
            }
            if (change.kind() == Fleet.ChangeKind.SLOWED) {
                slowed.add(change);
            } else {
                faults.add(new EndpointScript.Fault(
                        change.kind() == Fleet.ChangeKind.ZONE_DIED
                                ? EndpointScript.Kind.AWAY
                                : EndpointScript.Kind.SILENT,
                        change.from(),
                        change.to()));
                notices.add(new SocketDay.Notice(change.from() + change.noticeDelay(), m.id(), "gone", Double.NaN));
                notices.add(new SocketDay.Notice(change.to() + change.noticeDelay(), m.id(), "ready", change.to()));
                bornAt = change.to();
            }
        }
        Fleet.Front f = fleet.front();
        ServiceLaw law = law(m.speed(), slowed, bornAt);
        int room = (int) Math.round(f.roomPerCore() * m.model().cores())
                - m.model().cores();
        boolean reports = fleet.settings().reporting() == Contract.Reporting.WITH_ANSWERS;
        return new EndpointScript(
                m.id(),
                m.model().cores(),
                room,
                law,
                reports,
                faults,
                new EndpointScript.Lines(
                        (dice, now, k) -> fleet.work().get(k).offCore().draw(dice), f.handshake(), f.connections()));
    }

    private ServiceLaw law(double speed, List<Fleet.Change> slowed, double bornAt) {
        Fleet.Front f = fleet.front();
        return (dice, now, k) -> {
            Distribution core = fleet.work().get(k).onCore();
            double pace = speed;
            for (Fleet.Change c : slowed) {
                pace *= now >= c.from() && now < c.to() ? c.speed() : 1;
            }
            double age = now < bornAt ? Double.MAX_VALUE : now - bornAt;
            pace *= Math.min(1, f.coldShare() + (1 - f.coldShare()) * age / Math.max(1, f.coldTime()));
            return core.draw(dice) / pace;
        };
    }
}
