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
 * Runs a {@link KeyScenario} with the real classes of control nodes and sidecars under simulated time: each process has
 * its own clock and may be suspended or restarted, and messages are delayed, held up by cuts and lost with their
 * connections. The endpoints follow their published protocol, with clocks up to 2% slow.
 */
final class KeyMesh {
    private static final String SERVICE = "svc";
    private static final double SIDECAR_TICK_MS = 100;
    private static final double CONTROL_TICK_MS = 50;
    /** The distance between two keys that a sidecar is asked for. */
    private static final int KEY_STEP = 512;
    /** A cut that lasts longer ends the connection, and the messages in transit are lost. */
    private static final double CONNECTION_LOST_MS = 3000;
    /** The maximum time between a decision to send and the write, in which a process may be suspended. */
    private static final double MAX_SEND_DELAY_MS = 2;
    /** By how much longer endpoints are granted keys as an injected fault. */
    private static final double EXCESS_HOLD_MS = 2500;

    /** A fault that is injected to check that it is detected. */
    enum Fault {
        NONE,
        VOTES_LOST_AT_RESTART,
        /** Endpoints are granted keys for longer than the keys are leased. */
        HOLD_EXCEEDS_LEASE
    }

    /** One direction of a connection: in order, held up by cuts, lost with the connection. */
    private final class Link {
        private double lastMs;

        private void send(
                SimulatedProcess sender,
                SimulatedProcess recipient,
                int sidecar,
                int control,
                long connection,
                Runnable deliver) {
            calendar.schedule(random.nextDouble() * MAX_SEND_DELAY_MS, () -> {
                double arrivalMs = Math.max(lastMs, sender.sendTimeMs() + 1 + random.nextInt(scenario.maxDelayMs()));
                double undelayedMs = arrivalMs;
                while (sidecar >= 0 && !scenario.isReachable(sidecar, control, arrivalMs)
                        || sidecar < 0 && !scenario.isCoreReachable(-sidecar - 1, control, arrivalMs)) {
                    arrivalMs++;
                }
                lastMs = arrivalMs;
                boolean isLost = arrivalMs - undelayedMs > CONNECTION_LOST_MS;
                calendar.scheduleAt(arrivalMs, () -> {
                    if (!isLost) {
                        recipient.run(deliver);
                    } else if (sidecar >= 0 && connections[sidecar][control] == connection) {
                        connect(sidecar, control);
                    }
                });
            });
        }
    }

    /** A control node whose disk survives restarts. */
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
            DutyPromise promise = fault == Fault.VOTES_LOST_AT_RESTART ? DutyPromise.NONE : disk[0];
            duty = new KeyDuty(this::nowMs, this::isConfirmed, id, decided, promise, this::record, this::send);
            tick();
        }

        private boolean isConfirmed() {
            int reached = 0;
            for (int other = 0; other < controls.length; other++) {
                reached += other == index
                                || controls[other].isUp() && scenario.isCoreReachable(index, other, calendar.nowMs())
                        ? 1
                        : 0;
            }
            return reached > controls.length / 2;
        }

        private void record(DutyPromise promise, Runnable onRecorded) {
            calendar.schedule(
                    1 + random.nextInt(10),
                    () -> run(() -> {
                        disk[0] = promise;
                        onRecorded.run();
                    }));
        }

        private void send(String voter, PeerMessage message) {
            int other = Integer.parseInt(voter.substring("control-".length()));
            Control self = this;
            coreLinks[index][other].send(this, controls[other], -index - 1, other, 0, () -> {
                if (message instanceof PeerMessage.DutyVoteRequest question) {
                    controls[other].duty.voteRequested(self.id, question.request());
                } else if (message instanceof PeerMessage.DutyVoteResponse answer) {
                    controls[other].duty.voteReceived(self.id, answer.vote());
                }
            });
        }

        private void tick() {
            schedule(CONTROL_TICK_MS, () -> {
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
            Control sender = controls[control];
            downLinks[sidecar][control].send(sender, process, sidecar, control, number, () -> {
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

    /** A sidecar's process with a local endpoint that may outlive it. */
    private final class Sidecar extends SimulatedProcess {
        private final int index;
        private final EndpointGate gate = new EndpointGate(SimulatedEndpoint.HEARTBEAT_MS);
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
                            fault == Fault.HOLD_EXCEEDS_LEASE ? EXCESS_HOLD_MS : 0),
                    SERVICE::equals,
                    () -> leaving,
                    10_000,
                    random.nextLong() >>> 1);
            gate.departuresComplete();
            tick();
        }

        private void tick() {
            schedule(SIDECAR_TICK_MS, () -> {
                gate.tick(nowMs());
                keys.tick();
                for (int key = index * 7; key <= KeyRange.MAX_KEY; key += KEY_STEP * 5) {
                    keys.admit(key < 5000 ? key : key % 9000);
                }
                tick();
            });
        }

        private void received(String control, PeerMessage message) {
            if (message instanceof PeerMessage.KeyLeaseGrant lease) {
                keys.leaseReceived(control, lease.lease());
            } else if (message instanceof PeerMessage.KeyGrantorChanged) {
                keys.grantorChanged(control);
            } else if (message instanceof PeerMessage.KeyRoutesUpdate update) {
                routes.merge(update.service(), update.routes(), SERVICE::equals);
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
    private final Link[][] downLinks;
    private final Link[][] upLinks;
    private final Link[][] coreLinks;
    private final KeyRoutes routes = new KeyRoutes();
    private final KeyChecker checker;
    private long connectionCount;

    private KeyMesh(KeyScenario scenario, Fault fault) {
        this.scenario = scenario;
        this.fault = fault;
        this.random = new Random(scenario.seed());
        int sidecarCount = scenario.sidecars();
        int controlCount = scenario.controls();
        this.controls = new Control[controlCount];
        this.disks = new DutyPromise[controlCount][];
        this.sidecars = new Sidecar[sidecarCount];
        this.endpoints = new SimulatedEndpoint[sidecarCount];
        this.checker = new KeyChecker(calendar, scenario, endpoints);
        this.connections = new long[sidecarCount][controlCount];
        this.opened = new Connection[sidecarCount][controlCount];
        this.downLinks = links(sidecarCount, controlCount);
        this.upLinks = links(sidecarCount, controlCount);
        this.coreLinks = links(controlCount, controlCount);
        for (int i = 0; i < controlCount; i++) {
            disks[i] = new DutyPromise[] {DutyPromise.NONE};
            controls[i] = new Control(i, disks[i], true);
        }
        for (int i = 0; i < sidecarCount; i++) {
            endpoints[i] = endpoint(i, "endpoint-" + i);
            if (i < scenario.initialSidecars()) {
                startSidecar(i);
            }
        }
    }

    private Link[][] links(int rows, int columns) {
        Link[][] links = new Link[rows][columns];
        for (Link[] row : links) {
            for (int i = 0; i < columns; i++) {
                row[i] = new Link();
            }
        }
        return links;
    }

    static KeyOutcome run(KeyScenario scenario) {
        return run(scenario, Fault.NONE);
    }

    static KeyOutcome run(KeyScenario scenario, Fault fault) {
        KeyMesh mesh = new KeyMesh(scenario, fault);
        scenario.events().forEach(event -> mesh.calendar.scheduleAt(event.atMs(), () -> mesh.apply(event)));
        mesh.checker.check();
        mesh.calendar.runUntil(scenario.lengthMs());
        return mesh.checker.outcome();
    }

    private void startSidecar(int index) {
        if (sidecars[index] != null) {
            sidecars[index].kill();
        }
        sidecars[index] = new Sidecar(index);
        for (int control = 0; control < controls.length; control++) {
            connect(index, control);
        }
    }

    private SimulatedEndpoint endpoint(int index, String id) {
        return new SimulatedEndpoint(calendar, random, id, SERVICE, (source, status) -> {
            Sidecar localSidecar = sidecars[index];
            if (endpoints[index] == source && localSidecar != null) {
                localSidecar.run(() -> {
                    localSidecar.gate.heartbeat(localSidecar.nowMs(), source.id(), status);
                    localSidecar.keys.tick();
                });
            }
        });
    }

    private void connect(int sidecar, int controlIndex) {
        if (opened[sidecar][controlIndex] != null && controls[controlIndex].isUp()) {
            controls[controlIndex].duty.closed(opened[sidecar][controlIndex]);
        }
        long number = ++connectionCount;
        connections[sidecar][controlIndex] = number;
        Connection connection = new Connection(sidecar, controlIndex, number);
        opened[sidecar][controlIndex] = connection;
        Sidecar process = sidecars[sidecar];
        calendar.schedule(5, () -> {
            if (!connection.isOpen() || !controls[controlIndex].isUp()) {
                return;
            }
            Control control = controls[controlIndex];
            process.run(() -> process.keys.connected("control-" + controlIndex, new KeyClient.Connection() {
                @Override
                public boolean isUp() {
                    return connection.isOpen() && control.isUp();
                }

                @Override
                public void send(PeerMessage message) {
                    upLinks[sidecar][controlIndex].send(process, control, sidecar, controlIndex, number, () -> {
                        if (connection.isOpen() && message instanceof PeerMessage.KeyLeaseReport report) {
                            control.duty.report(connection, report.report());
                        }
                    });
                }
            }));
            control.run(() -> control.duty.sidecarConnected(connection));
        });
    }

    private void apply(KeyScenario.Event event) {
        int index = event.index();
        switch (event.kind()) {
            case FREEZE_CONTROL -> controls[index].freeze(event.durationMs());
            case FREEZE_SIDECAR -> sidecars[index].freeze(event.durationMs());
            case RESTART_CONTROL -> {
                controls[index].kill();
                calendar.schedule(event.durationMs(), () -> {
                    controls[index].kill();
                    controls[index] = new Control(index, disks[index], fault == Fault.VOTES_LOST_AT_RESTART);
                    for (int sidecar = 0; sidecar < sidecars.length; sidecar++) {
                        if (sidecars[sidecar] != null) {
                            connect(sidecar, index);
                        }
                    }
                });
            }
            case RESTART_SIDECAR -> {
                if (sidecars[index] != null) {
                    sidecars[index].kill();
                    calendar.schedule(event.durationMs(), () -> startSidecar(index));
                }
            }
            case CRASH_ENDPOINT -> {
                endpoints[index].crash();
                calendar.schedule(
                        event.durationMs(),
                        () -> endpoints[index] = endpoint(index, "endpoint-" + index + "-" + calendar.nowMs()));
            }
            case DRAIN_ENDPOINT -> {
                endpoints[index].drain();
                calendar.schedule(
                        event.durationMs(),
                        () -> endpoints[index] = endpoint(index, "endpoint-" + index + "-" + calendar.nowMs()));
            }
            case START_SIDECAR -> {
                if (sidecars[index] == null) {
                    startSidecar(index);
                }
            }
            default -> throw new AssertionError(event.kind());
        }
    }
}
