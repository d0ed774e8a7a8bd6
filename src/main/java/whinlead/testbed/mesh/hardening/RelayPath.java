package whinlead.testbed.mesh.hardening;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import whinlead.mesh.sidecar.PeerPath;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.mesh.wire.TransitClock;
import whinlead.plan.Calendar;

/**
 * A modelled path between two processes: successive ordered connections, which break, are delayed, and may stay open at
 * the far end after the near end has closed them. Single-threaded, with driven time.
 */
final class RelayPath implements PeerPath {
    private static final double SUSPECT_MS = 700;
    private static final double DEAD_MS = 5000;
    private static final double REDIAL_MS = 250;
    private static final double PING_MS = 250;
    private static final int IDLE_PING_PERIODS = 6;

    /** The process at the far end. */
    interface FarEnd {
        /**
         * Receives a message, and answers it if it is a request.
         *
         * @param firstWaited how long the connection's first message was in transit, in milliseconds
         */
        void receive(TransitClock transit, double firstWaited, PeerMessage message, Consumer<PeerMessage> answer);
    }

    private final Calendar calendar;
    private final SplittableRandom random;
    private final RelayProcess near;
    private final RelayProcess far;
    private final PeerPath.Listener listener;
    private final FarEnd farEnd;
    /** Observes written messages. */
    private final Consumer<PeerMessage> written;
    /** Whether sent messages are sent again on the next connection: a planted fault. */
    private final boolean resends;

    private final List<PeerMessage> sent = new ArrayList<>();
    private ReconnectingConnection.State state = ReconnectingConnection.State.DOWN;
    private Connection connection;

    RelayPath(
            Calendar calendar,
            SplittableRandom random,
            RelayProcess near,
            RelayProcess far,
            PeerPath.Listener listener,
            FarEnd farEnd,
            Consumer<PeerMessage> written,
            boolean resends) {
        this.calendar = calendar;
        this.random = random;
        this.near = near;
        this.far = far;
        this.listener = listener;
        this.farEnd = farEnd;
        this.written = written;
        this.resends = resends;
    }

    private final class Connection {
        private final TransitClock transit = new TransitClock();
        private double firstDelayMs = Double.NaN;
        private double farArrivalMs;
        private double nearArrivalMs;
        private double heldUntilMs;
        private boolean nearOpen = true;
        private boolean farOpen = true;
        /** One object for all messages of this connection, so that the far end can tell connections apart. */
        private final Consumer<PeerMessage> answers = this::answer;

        private void toFar(Runnable task) {
            farArrivalMs = Math.max(Math.max(farArrivalMs, heldUntilMs), calendar.nowMs() + 0.2 + random.nextInt(3));
            calendar.scheduleAt(farArrivalMs, () -> far.execute(task));
        }

        private void toNear(Runnable task) {
            nearArrivalMs = Math.max(Math.max(nearArrivalMs, heldUntilMs), calendar.nowMs() + 0.2 + random.nextInt(3));
            calendar.scheduleAt(nearArrivalMs, () -> near.execute(task));
        }

        private void send(byte[] written) {
            double sentAt = calendar.nowMs();
            toFar(() -> {
                if (farOpen) {
                    firstDelayMs = Double.isNaN(firstDelayMs) ? calendar.nowMs() - sentAt : firstDelayMs;
                    farEnd.receive(transit, firstDelayMs, read(written), answers);
                }
            });
        }

        // Pings more often while requests are pending.
        private void ping(int periods) {
            if (nearOpen) {
                boolean due = listener.hasPendingRequests() || periods >= IDLE_PING_PERIODS;
                if (due) {
                    send(PeerMessageCodec.write(new PeerMessage.Ping(1, listener.timestampMicros())));
                }
                near.schedule(PING_MS, () -> ping(due ? 1 : periods + 1));
            }
        }

        private void answer(PeerMessage message) {
            if (farOpen) {
                byte[] written = PeerMessageCodec.write(message);
                toNear(() -> {
                    if (nearOpen) {
                        listener.messageReceived(read(written));
                    }
                });
            }
        }

        // Messages written before still arrive.
        private void close() {
            nearOpen = false;
            toFar(() -> farOpen = false);
        }
    }

    private static PeerMessage read(byte[] written) {
        try {
            return PeerMessageCodec.read(written);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public int version() {
        return ProtocolVersion.SUPPORTED.newest();
    }

    @Override
    public void dial() {
        if (state != ReconnectingConnection.State.DOWN) {
            return;
        }
        setState(ReconnectingConnection.State.DIALLING);
        boolean fails = random.nextInt(8) == 0;
        double wait = random.nextInt(5) == 0 ? 100 + random.nextInt(700) : 1 + random.nextInt(4);
        calendar.schedule(
                wait,
                () -> near.execute(() -> {
                    if (fails) {
                        connectionLost();
                    } else if (state == ReconnectingConnection.State.DIALLING) {
                        connection = new Connection();
                        connection.ping(IDLE_PING_PERIODS);
                        if (resends) {
                            sent.forEach(l -> connection.send(PeerMessageCodec.write(l)));
                        }
                        setState(ReconnectingConnection.State.UP);
                    }
                }));
    }

    @Override
    public ReconnectingConnection.State state() {
        return state;
    }

    @Override
    public boolean send(PeerMessage message) {
        boolean connected = connection != null && connection.nearOpen;
        if (connected) {
            if (resends) {
                sent.add(message);
            }
            connection.send(PeerMessageCodec.write(message));
            written.accept(message);
        }
        return connected;
    }

    @Override
    public void close() {
        setState(ReconnectingConnection.State.CLOSED);
        drop();
    }

    private void drop() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void setState(ReconnectingConnection.State next) {
        if (state != next && state != ReconnectingConnection.State.CLOSED) {
            ReconnectingConnection.State before = state;
            state = next;
            listener.stateChanged(next, before);
        }
    }

    private void connectionLost() {
        drop();
        setState(ReconnectingConnection.State.DOWN);
        near.schedule(REDIAL_MS + random.nextInt((int) REDIAL_MS), this::dial);
    }

    /** Resets the connection; messages in transit are lost at either end, or arrive. */
    void reset() {
        Connection broken = connection;
        if (broken != null) {
            broken.farOpen &= random.nextBoolean();
            near.execute(() -> {
                if (connection == broken) {
                    connectionLost();
                }
            });
        }
    }

    /** The far process has exited: no message in transit arrives. */
    void farEnded() {
        Connection broken = connection;
        if (broken != null) {
            broken.farOpen = false;
            near.execute(() -> {
                if (connection == broken) {
                    connectionLost();
                }
            });
        }
    }

    /** Delays all messages for the given time. */
    void hold(double durationMs) {
        Connection held = connection;
        if (held == null) {
            return;
        }
        held.heldUntilMs = Math.max(held.heldUntilMs, calendar.nowMs() + durationMs);
        silence(durationMs);
    }

    /** The near end receives nothing for the given time, for any reason. */
    void silence(double durationMs) {
        Connection silent = connection;
        if (silent == null || durationMs < SUSPECT_MS) {
            return;
        }
        near.schedule(SUSPECT_MS, () -> {
            if (connection == silent && state == ReconnectingConnection.State.UP) {
                setState(ReconnectingConnection.State.SUSPECT);
            }
        });
        near.schedule(Math.min(durationMs, DEAD_MS), () -> {
            if (connection == silent && state == ReconnectingConnection.State.SUSPECT) {
                if (durationMs > DEAD_MS) {
                    connectionLost();
                } else {
                    setState(ReconnectingConnection.State.UP);
                }
            }
        });
    }
}
