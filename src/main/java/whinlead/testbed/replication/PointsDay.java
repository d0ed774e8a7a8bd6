package whinlead.testbed.replication;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import whinlead.Contract;
import whinlead.consult.Directive;
import whinlead.consult.Peer;
import whinlead.engine.Request;
import whinlead.membership.EndpointList;
import whinlead.plan.Calendar;
import whinlead.replication.net.Frames;
import whinlead.replication.raft.GroupMessage;
import whinlead.replication.raft.Member;
import whinlead.replication.wire.Wire;

/**
 * One request and one death: the member that was asked is killed right after a given step, and its proxy asks another
 * until it hears an end. Real engine, module, consultations, book and consensus by a driven clock.
 */
public final class PointsDay {
    /**
     * What is played.
     *
     * @param at after which step
     * @param kind index of the class: 1 must not run twice, 2 has a key
     * @param leads whether the one that is killed leads the group
     * @param disk whether it comes back with its disk, or with nothing
     */
    public record Plan(Point at, int kind, boolean leads, boolean disk) {}

    /**
     * What came of it.
     *
     * @param runs of the request, counted by the endpoints
     * @param heard by its proxy, the end last
     * @param broken promises
     * @param ends told by each member afterwards, to one that asks again
     */
    public record Result(int runs, List<String> heard, Map<String, Integer> broken, List<String> ends) {}

    private static final String GROUP = "g0";
    private static final String ID = "r";
    private static final int MEMBERS = 3;
    private static final double BEGIN_MS = 3000;
    private static final double TIME_MS = 4000;
    private static final double RESEND_MS = 700;
    private static final double AGAIN_MS = 1500;
    private static final double AFTERWARDS_MS = 9000;
    private static final double END_MS = 20_000;

    private final Plan plan;
    private final Calendar world = new Calendar();
    private final Truth truth = new Truth();
    private final Random dice = new Random(1);
    private final SimNet net = new SimNet(world, new Random(2));
    private final Map<String, SimMachine> machines = new TreeMap<>();
    private final Peer peer = new Peer(true, "p");
    private final List<String> heard = new ArrayList<>();
    private final List<String> ends = new ArrayList<>();
    private SimMachine victim;
    private int runs;
    private int call;
    private boolean over;

    private PointsDay(Plan plan) {
        this.plan = plan;
        SortedSet<String> names = new TreeSet<>();
        for (int i = 0; i < MEMBERS; i++) {
            names.add("m" + i);
        }
        SortedMap<String, SortedSet<String>> groups = new TreeMap<>(Map.of(GROUP, names));
        for (String name : names) {
            machines.put(
                    name,
                    new SimMachine(
                            name,
                            names,
                            groups,
                            0,
                            SimRequestKind.SETTINGS,
                            world,
                            truth,
                            Bug.NONE,
                            plan.disk,
                            new Random(dice.nextLong())));
        }
    }

    /** Plays it. */
    public static Result play(Plan plan) {
        PointsDay day = new PointsDay(plan);
        day.machines.values().forEach(day::start);
        day.world.scheduleAt(BEGIN_MS, day::begin);
        day.world.scheduleAt(BEGIN_MS + AFTERWARDS_MS, day::askAll);
        day.world.runUntil(END_MS);
        return new Result(day.runs, day.heard, day.truth.broken(), day.ends);
    }

    private void start(SimMachine m) {
        m.start((group, to, message) -> post(m, machines.get(to), message), list());
    }

    private void post(SimMachine from, SimMachine to, GroupMessage message) {
        Wire.Frame frame = Frames.encode(GROUP, message);
        if (from.alive()) {
            net.send(from.name(), to.name(), () -> {
                if (to.alive()) {
                    to.process()
                            .run(() -> to.host().receive(GROUP, Frames.decode(frame), back -> post(to, from, back)));
                }
            });
        }
    }

    private static EndpointList list() {
        return new EndpointList(
                1,
                true,
                List.of(new EndpointList.Entry(
                        new Contract.Server("e", Contract.ServerState.UP, 1, "a", -1, 0),
                        new InetSocketAddress("127.0.0.1", 1000))));
    }

    private void begin() {
        truth.asked(ID, world.nowMs() + TIME_MS);
        victim = machines.values().stream()
                .filter(m -> leads(m) == plan.leads)
                .findFirst()
                .orElseThrow();
        victim.at(this::reached);
        ask(victim, true);
    }

    private static boolean leads(SimMachine m) {
        Member member = m.member(GROUP);
        return member != null && member.leads();
    }

    private void reached(Point point) {
        if (point == plan.at && victim.alive()) {
            victim.kill();
            if (!plan.disk) {
                victim.loseDisk();
            }
            world.schedule(AGAIN_MS, () -> start(victim));
        }
    }

    // The first asks the one that is to die; later ones ask the others in turn.
    private void ask(SimMachine m, boolean first) {
        double left = BEGIN_MS + TIME_MS - world.nowMs();
        if (over || left < 1) {
            return;
        }
        int mine = ++call;
        world.schedule(Math.min(left, RESEND_MS), () -> resend(mine));
        if (!m.alive()) {
            return;
        }
        SimProcess there = m.process();
        net.send(
                "p",
                m.name(),
                () -> there.run(() -> m.consultations()
                        .ask(
                                peer,
                                ID,
                                new Request(plan.kind, -1, left, false),
                                d -> told(there, m, () -> heard(mine, m, d)))));
        if (first) {
            return;
        }
        heard.add("asked another");
    }

    private void told(SimProcess there, SimMachine m, Runnable hears) {
        if (there.alive()) {
            net.send(m.name(), "p", hears);
        }
    }

    private void resend(int mine) {
        if (mine == call) {
            List<SimMachine> others =
                    machines.values().stream().filter(m -> m != victim).toList();
            ask(others.get(call % others.size()), false);
        }
    }

    private void heard(int mine, SimMachine m, Directive d) {
        if (mine != call || over) {
            return;
        }
        call++;
        heard.add(d.wireName());
        if (d instanceof Directive.Send send) {
            runs++;
            truth.ran(ID, true, SimRequestKind.at(plan.kind).keyWindowMs(), world.nowMs());
            if (m == victim) {
                reached(Point.SENT);
            }
            int next = call;
            world.schedule(RESEND_MS, () -> resend(next));
            if (!m.alive()) {
                return;
            }
            SimProcess there = m.process();
            net.send(
                    "p",
                    m.name(),
                    () -> there.run(() -> m.consultations()
                            .outcome(
                                    ID,
                                    send.attempt(),
                                    send.endpoint(),
                                    Contract.Outcome.SERVED,
                                    null,
                                    end -> told(there, m, () -> heard(next, m, end)))));
        } else if (d instanceof Directive.AlreadyOut || d instanceof Directive.Unknown) {
            int next = call;
            world.schedule(RESEND_MS, () -> resend(next));
        } else {
            over = true;
            if (d instanceof Directive.Refused) {
                truth.refused(ID, SimRequestKind.at(plan.kind).keyWindowMs(), world.nowMs());
            }
        }
    }

    // Long after: whoever is asked again tells the same, and nothing runs any more.
    private void askAll() {
        over = true;
        for (SimMachine m : machines.values()) {
            SimProcess there = m.process();
            there.run(() -> m.consultations().ask(peer, ID, new Request(plan.kind, -1, TIME_MS, false), d -> {
                ends.add(d.wireName());
                if (d instanceof Directive.Send) {
                    truth.ran(ID, true, SimRequestKind.at(plan.kind).keyWindowMs(), world.nowMs());
                }
            }));
        }
    }
}
