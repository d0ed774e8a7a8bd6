package whinlead.mesh.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.duty.DutyPromise;
import whinlead.mesh.keys.KeyRange;
import whinlead.mesh.keys.KeyRoutes;
import whinlead.mesh.sidecar.EndpointGate;
import whinlead.mesh.sidecar.KeyClient;
import whinlead.mesh.wire.MalformedMessageException;
import whinlead.mesh.wire.MessageSender;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.plan.Calendar;

/**
 * Plays a {@link KeyScenario} with the real classes of control nodes and sidecars under simulated time: each process
 * has a clock of its own, stands still, restarts, and its messages take their time, are held up by cuts and lost with
 * their connections. The endpoints keep to their published protocol, by clocks up to 2% slow.
 */
final class KeyMesh {
    private static final String SERVICE = "svc";
    private static final double TICK_MS = 100;
    private static final double CONTROL_TICK_MS = 50;
    /** A sidecar is asked for keys that are so far apart. */
    private static final int KEY_STEP = 512;
    /** A cut that lasts longer ends the connection, and what was on its way is lost. */
    private static final double CONNECTION_LOST_MS = 3000;
    /** What a process sent just before it stood still leaves when it goes on. */
    private static final double STUCK_MS = 2;
    /** For so long too long endpoints are granted keys, as a fault. */
    private static final double TOO_LONG_MS = 2500;

    /** A fault that is put into the mesh, to see that it is found. */
    enum Fault {
        NONE,
        /** Control nodes forget at a restart that they ever voted. */
        FORGETS_VOTES,
        /** Endpoints are granted keys for longer than these are leased. */
        HOLDS_TOO_LONG
    }

    /** One way of a connection: in order, held up by cuts, lost with the connection. */
    private final class Way {
        private double lastAt;

        private void send(
                SimulatedProcess from,
                SimulatedProcess to,
                int sidecar,
                int control,
                long connection,
                Runnable arrival) {
            // The process may stand still between this decision and the write.
            calendar.after(random.nextDouble() * STUCK_MS, () -> {
                double at = Math.max(lastAt, from.leavesAt() + 1 + random.nextInt(scenario.maxDelayMs()));
                double held = at;
                while (sidecar >= 0 && !scenario.reaches(sidecar, control, at)
                        || sidecar < 0 && !scenario.coreReaches(-sidecar - 1, control, at)) {
                    at++;
                }
                lastAt = at;
                boolean broken = at - held > CONNECTION_LOST_MS;
                calendar.at(at, () -> {
                    if (!broken) {
                        to.run(arrival);
                    } else if (sidecar >= 0 && connections[sidecar][control] == connection) {
                        connect(sidecar, control);
                    }
                });
            });
        }
    }

    /** A control node's machine, whose disk lasts. */
    private final class Control extends SimulatedProcess {
        private final int index;
        private final String id;
        private final DutyPromise[] disk;
        private KeyDuty duty;

        private Control(int index, DutyPromise[] disk, boolean first) {
            super(calendar, random, index);
            this.index = index;
            this.id = "control-" + index;
            this.disk = disk;
            List<String> voters = new ArrayList<>();
            for (int i = 0; i < controls.length; i++) {
                voters.add("control-" + i);
            }
            Decision decided = new Decision(first ? 0 : 3, 1, new byte[0], List.of(), voters);
            DutyPromise promise = fault == Fault.FORGETS_VOTES ? DutyPromise.NONE : disk[0];
            duty = new KeyDuty(this::now, this::isConfirmed, id, decided, promise, this::record, this::send);
            tick();
        }

        private boolean isConfirmed() {
            int reached = 0;
            for (int other = 0; other < controls.length; other++) {
                reached +=
                        other == index || controls[other].isUp() && scenario.coreReaches(index, other, calendar.now())
                                ? 1
                                : 0;
            }
            return reached > controls.length / 2;
        }

        private void record(DutyPromise promise, Runnable then) {
            calendar.after(
                    1 + random.nextInt(10),
                    () -> run(() -> {
                        disk[0] = promise;
                        then.run();
                    }));
        }

        private void send(String voter, PeerMessage message) {
            int other = Integer.parseInt(voter.substring("control-".length()));
            Control self = this;
            coreWays[index][other].send(this, controls[other], -index - 1, other, 0, () -> {
                if (message instanceof PeerMessage.DutyQuestion question) {
                    controls[other].duty.vote(self.id, question.request());
                } else if (message instanceof PeerMessage.DutyAnswer answer) {
                    controls[other].duty.answered(self.id, answer.vote());
                }
            });
        }

        private void tick() {
            after(CONTROL_TICK_MS, () -> {
                duty.tick();
                tick();
            });
        }
    }

    /** A sidecar's connection, as the control node sees it. */
    private final class Connection implements MessageSender {
        private final int sidecar;
        private final int control;
        private final long number;
        private final Sidecar process;

        private Connection(int sidecar, int control, long number) {
            this.sidecar = sidecar;
            this.control = control;
            this.number = number;
            this.process = sidecars[sidecar];
        }

        private boolean isOpen() {
            return connections[sidecar][control] == number && sidecars[sidecar] == process && process.isUp();
        }

        @Override
        public String peer() {
            return "node-" + sidecar;
        }

        @Override
        public int version() {
            return ProtocolVersion.KEYS;
        }

        @Override
        public void send(PeerMessage message) {
            Control from = controls[control];
            downWays[sidecar][control].send(from, process, sidecar, control, number, () -> {
                if (isOpen()) {
                    process.received("control-" + control, message);
                }
            });
        }

        @Override
        public void send(byte[] encoded) {
            try {
                send(PeerMessageCodec.read(encoded));
            } catch (MalformedMessageException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** A sidecar's process, beside an endpoint that lasts longer than it. */
    private final class Sidecar extends SimulatedProcess {
        private final int index;
        private final EndpointGate gate = new EndpointGate(SimulatedEndpoint.BEAT_MS);
        private final KeyClient keys;
        private boolean leaving;

        private Sidecar(int index) {
            super(calendar, random, index);
            this.index = index;
            this.keys = new KeyClient(
                    this,
                    gate,
                    new SimulatedEndpointKeys(
                            calendar,
                            random,
                            this,
                            () -> endpoints[index],
                            fault == Fault.HOLDS_TOO_LONG ? TOO_LONG_MS : 0),
                    SERVICE::equals,
                    () -> leaving,
                    10_000,
                    random.nextLong() >>> 1);
            tick();
        }

        private void tick() {
            after(TICK_MS, () -> {
                gate.tick(now());
                keys.tick();
                for (int key = index * 7; key <= KeyRange.MAX_KEY; key += KEY_STEP * 5) {
                    keys.admit(key < 5000 ? key : key % 9000);
                }
                tick();
            });
        }

        private void received(String control, PeerMessage message) {
            if (message instanceof PeerMessage.KeyLeaseGrant lease) {
                keys.leased(control, lease.lease());
            } else if (message instanceof PeerMessage.KeyGrantorChanged) {
                keys.grantorChanged(control);
            } else if (message instanceof PeerMessage.KeyRoutesUpdate update) {
                routes.merge(update.service(), update.routes());
            }
        }
    }

    private final KeyScenario scenario;
    private final Fault fault;
    private final Random random;
    private final Calendar calendar = new Calendar();
    private final Control[] controls;
    private final DutyPromise[][] disks;
    private final Sidecar[] sidecars;
    private final SimulatedEndpoint[] endpoints;
    private final long[][] connections;
    private final Connection[][] opened;
    private final Way[][] downWays;
    private final Way[][] upWays;
    private final Way[][] coreWays;
    private final KeyRoutes routes = new KeyRoutes();
    private final KeyChecker checker;
    private long connectionCount;

    private KeyMesh(KeyScenario scenario, Fault fault) {
        this.scenario = scenario;
        this.fault = fault;
        this.random = new Random(scenario.seed());
        int n = scenario.sidecars();
        int c = scenario.controls();
        this.controls = new Control[c];
        this.disks = new DutyPromise[c][];
        this.sidecars = new Sidecar[n];
        this.endpoints = new SimulatedEndpoint[n];
        this.checker = new KeyChecker(calendar, scenario, endpoints);
        this.connections = new long[n][c];
        this.opened = new Connection[n][c];
        this.downWays = ways(n, c);
        this.upWays = ways(n, c);
        this.coreWays = ways(c, c);
        for (int i = 0; i < c; i++) {
            disks[i] = new DutyPromise[] {DutyPromise.NONE};
            controls[i] = new Control(i, disks[i], true);
        }
        for (int i = 0; i < n; i++) {
            endpoints[i] = endpoint(i, "endpoint-" + i);
            if (i < scenario.sidecarsAtFirst()) {
                startSidecar(i);
            }
        }
    }

    private Way[][] ways(int rows, int columns) {
        Way[][] ways = new Way[rows][columns];
        for (Way[] row : ways) {
            for (int i = 0; i < columns; i++) {
                row[i] = new Way();
            }
        }
        return ways;
    }

    static KeyOutcome play(KeyScenario scenario) {
        return play(scenario, Fault.NONE);
    }

    static KeyOutcome play(KeyScenario scenario, Fault fault) {
        KeyMesh mesh = new KeyMesh(scenario, fault);
        scenario.events().forEach(event -> mesh.calendar.at(event.atMs(), () -> mesh.apply(event)));
        mesh.checker.check();
        mesh.calendar.runTo(scenario.lengthMs());
        return mesh.checker.outcome();
    }

    private void startSidecar(int i) {
        if (sidecars[i] != null) {
            sidecars[i].kill();
        }
        sidecars[i] = new Sidecar(i);
        for (int c = 0; c < controls.length; c++) {
            connect(i, c);
        }
    }

    private SimulatedEndpoint endpoint(int i, String id) {
        return new SimulatedEndpoint(calendar, random, id, SERVICE, (from, status) -> {
            Sidecar beside = sidecars[i];
            if (endpoints[i] == from && beside != null) {
                beside.run(() -> {
                    beside.gate.heartbeat(beside.now(), from.id(), status);
                    beside.keys.tick();
                });
            }
        });
    }

    private void connect(int i, int c) {
        if (opened[i][c] != null && controls[c].isUp()) {
            controls[c].duty.closed(opened[i][c]);
        }
        long number = ++connectionCount;
        connections[i][c] = number;
        Connection connection = new Connection(i, c, number);
        opened[i][c] = connection;
        Sidecar process = sidecars[i];
        calendar.after(5, () -> {
            if (!connection.isOpen() || !controls[c].isUp()) {
                return;
            }
            Control control = controls[c];
            process.run(() -> process.keys.connected("control-" + c, new KeyClient.Connection() {
                @Override
                public boolean isUp() {
                    return connection.isOpen() && control.isUp();
                }

                @Override
                public void send(PeerMessage message) {
                    upWays[i][c].send(process, control, i, c, number, () -> {
                        if (connection.isOpen() && message instanceof PeerMessage.KeyLeaseReport report) {
                            control.duty.report(connection, report.report());
                        }
                    });
                }
            }));
            control.run(() -> control.duty.greeted(connection));
        });
    }

    private void apply(KeyScenario.Event event) {
        int i = event.index();
        switch (event.kind()) {
            case FREEZE_CONTROL -> controls[i].freeze(event.forMs());
            case FREEZE_SIDECAR -> sidecars[i].freeze(event.forMs());
            case RESTART_CONTROL -> {
                controls[i].kill();
                calendar.after(event.forMs(), () -> {
                    controls[i].kill();
                    controls[i] = new Control(i, disks[i], fault == Fault.FORGETS_VOTES);
                    for (int s = 0; s < sidecars.length; s++) {
                        if (sidecars[s] != null) {
                            connect(s, i);
                        }
                    }
                });
            }
            case RESTART_SIDECAR -> {
                if (sidecars[i] != null) {
                    sidecars[i].kill();
                    calendar.after(event.forMs(), () -> startSidecar(i));
                }
            }
            case CRASH_ENDPOINT -> {
                endpoints[i].crash();
                calendar.after(event.forMs(), () -> endpoints[i] = endpoint(i, "endpoint-" + i + "-" + calendar.now()));
            }
            case DRAIN_ENDPOINT -> {
                endpoints[i].drain();
                calendar.after(event.forMs(), () -> endpoints[i] = endpoint(i, "endpoint-" + i + "-" + calendar.now()));
            }
            case START_SIDECAR -> {
                if (sidecars[i] == null) {
                    startSidecar(i);
                }
            }
            default -> throw new AssertionError(event.kind());
        }
    }
}
