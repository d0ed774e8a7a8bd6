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
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.mesh.wire.TransitClock;
import whinlead.plan.Calendar;

/**
 * A modelled connection between two processes: connections in order, which break, are held back, and outlive at the far
 * end what the near one has closed. One thread; driven time.
 */
final class RelayPath implements PeerPath {
    private static final double SUSPECT = 700;
    private static final double DEAD = 5000;
    private static final double REDIAL = 250;
    private static final double PING = 250;
    private static final int IDLE_TIMES = 6;

    /** The process at the far end. */
    interface FarEnd {
        /**
         * Takes a message, and answers it if it is a request.
         *
         * @param firstWaited how long the connection's first message waited on its way, in milliseconds
         */
        void take(TransitClock transit, double firstWaited, PeerMessage message, Consumer<PeerMessage> answer);
    }

    private final Calendar calendar;
    private final SplittableRandom random;
    private final RelayProcess near;
    private final RelayProcess far;
    private final PeerPath.Listener ear;
    private final FarEnd farEnd;
    /** Hears of what was written. */
    private final Consumer<PeerMessage> wrote;
    /** Whether what was sent is sent once more on the next connection: a planted fault. */
    private final boolean again;

    private final List<PeerMessage> sent = new ArrayList<>();
    private ReconnectingConnection.State state = ReconnectingConnection.State.DOWN;
    private Connection connection;

    RelayPath(
            Calendar calendar,
            SplittableRandom random,
            RelayProcess near,
            RelayProcess far,
            PeerPath.Listener ear,
            FarEnd farEnd,
            Consumer<PeerMessage> wrote,
            boolean again) {
        this.calendar = calendar;
        this.random = random;
        this.near = near;
        this.far = far;
        this.ear = ear;
        this.farEnd = farEnd;
        this.wrote = wrote;
        this.again = again;
    }

    private final class Connection {
        private final TransitClock transit = new TransitClock();
        private double firstWaited = Double.NaN;
        private double farAt;
        private double nearAt;
        private double heldUntil;
        private boolean nearOpen = true;
        private boolean farOpen = true;
        /** One for all that comes by this connection, so that the far end can tell it from others. */
        private final Consumer<PeerMessage> answers = this::answer;

        private void toFar(Runnable task) {
            farAt = Math.max(Math.max(farAt, heldUntil), calendar.now() + 0.2 + random.nextInt(3));
            calendar.at(farAt, () -> far.execute(task));
        }

        private void toNear(Runnable task) {
            nearAt = Math.max(Math.max(nearAt, heldUntil), calendar.now() + 0.2 + random.nextInt(3));
            calendar.at(nearAt, () -> near.execute(task));
        }

        private void send(byte[] written) {
            double sentAt = calendar.now();
            toFar(() -> {
                if (farOpen) {
                    firstWaited = Double.isNaN(firstWaited) ? calendar.now() - sentAt : firstWaited;
                    farEnd.take(transit, firstWaited, read(written), answers);
                }
            });
        }

        // Signs of life are asked for more often while something is waited for.
        private void ping(int periods) {
            if (nearOpen) {
                boolean due = ear.hasPendingRequests() || periods >= IDLE_TIMES;
                if (due) {
                    send(PeerMessageCodec.write(new PeerMessage.Ping(1, ear.stamp())));
                }
                near.after(PING, () -> ping(due ? 1 : periods + 1));
            }
        }

        private void answer(PeerMessage message) {
            if (farOpen) {
                byte[] written = PeerMessageCodec.write(message);
                toNear(() -> {
                    if (nearOpen) {
                        ear.message(read(written));
                    }
                });
            }
        }

        // What was written before still arrives.
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
    public void dial() {
        if (state != ReconnectingConnection.State.DOWN) {
            return;
        }
        to(ReconnectingConnection.State.DIALLING);
        boolean fails = random.nextInt(8) == 0;
        double wait = random.nextInt(5) == 0 ? 100 + random.nextInt(700) : 1 + random.nextInt(4);
        calendar.after(
                wait,
                () -> near.execute(() -> {
                    if (fails) {
                        lost();
                    } else if (state == ReconnectingConnection.State.DIALLING) {
                        connection = new Connection();
                        connection.ping(IDLE_TIMES);
                        if (again) {
                            sent.forEach(l -> connection.send(PeerMessageCodec.write(l)));
                        }
                        to(ReconnectingConnection.State.UP);
                    }
                }));
    }

    @Override
    public ReconnectingConnection.State state() {
        return state;
    }

    @Override
    public boolean send(PeerMessage message) {
        boolean can = connection != null && connection.nearOpen;
        if (can) {
            if (again) {
                sent.add(message);
            }
            connection.send(PeerMessageCodec.write(message));
            wrote.accept(message);
        }
        return can;
    }

    @Override
    public void close() {
        to(ReconnectingConnection.State.CLOSED);
        drop();
    }

    private void drop() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void to(ReconnectingConnection.State next) {
        if (state != next && state != ReconnectingConnection.State.CLOSED) {
            ReconnectingConnection.State before = state;
            state = next;
            ear.changed(next, before);
        }
    }

    private void lost() {
        drop();
        to(ReconnectingConnection.State.DOWN);
        near.after(REDIAL + random.nextInt((int) REDIAL), this::dial);
    }

    /** The connection is reset; what is on its way is lost at either end, or arrives. */
    void reset() {
        Connection broken = connection;
        if (broken != null) {
            broken.farOpen &= random.nextBoolean();
            near.execute(() -> {
                if (connection == broken) {
                    lost();
                }
            });
        }
    }

    /** The far end has ended: nothing of what is on its way arrives. */
    void farEnded() {
        Connection broken = connection;
        if (broken != null) {
            broken.farOpen = false;
            near.execute(() -> {
                if (connection == broken) {
                    lost();
                }
            });
        }
    }

    /** Nothing arrives for so long. */
    void hold(double millis) {
        Connection held = connection;
        if (held == null) {
            return;
        }
        held.heldUntil = Math.max(held.heldUntil, calendar.now() + millis);
        silence(millis);
    }

    /** The near end hears nothing for so long, whatever the reason. */
    void silence(double millis) {
        Connection silent = connection;
        if (silent == null || millis < SUSPECT) {
            return;
        }
        near.after(SUSPECT, () -> {
            if (connection == silent && state == ReconnectingConnection.State.UP) {
                to(ReconnectingConnection.State.SUSPECT);
            }
        });
        near.after(Math.min(millis, DEAD), () -> {
            if (connection == silent && state == ReconnectingConnection.State.SUSPECT) {
                if (millis > DEAD) {
                    lost();
                } else {
                    to(ReconnectingConnection.State.UP);
                }
            }
        });
    }
}
