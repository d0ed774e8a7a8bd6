package whinlead.mesh.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A connection that is kept: dialled again when it is down, and watched by pings, for a machine without power and one
 * behind a cut say nothing. On its loop's thread.
 */
public final class ReconnectingConnection {
    /** Where it stands. */
    public enum State {
        /** Not connected. */
        DOWN,
        /** Being connected. */
        DIALLING,
        /** Connected, and heard of lately. */
        UP,
        /** Connected, and silent for long. */
        SUSPECT,
        /** Given up for good. */
        CLOSED
    }

    /**
     * How long to wait, in milliseconds.
     *
     * @param ping between two pings
     * @param suspect silence before it is suspected
     * @param dead silence before it is closed
     * @param redial between two dials, at least; twice at most
     */
    public record Timeouts(long ping, long suspect, long dead, long redial) {}

    /** Hears of it. */
    public interface Listener {
        /** It stands differently. */
        void changed(ReconnectingConnection connection, State before);

        /** A message came. */
        void message(ReconnectingConnection connection, PeerMessage message);

        /** A ping that left at this time, by the loop's steady clock in milliseconds, was answered. */
        default void pongReceived(double sentAt, PeerMessage.Pong pong) {}

        /** Whether a sign of life is asked for whatever else comes: only its answer tells of contact. */
        default boolean alwaysPings() {
            return false;
        }

        /** What is put on a ping as its time of sending, in microseconds of a steady clock. */
        default long stamp() {
            return PeerMessage.UNSTAMPED;
        }

        /** Whether something is waited for; if not, a sign of life is asked for less often. */
        default boolean hasPendingRequests() {
            return true;
        }
    }

    private static final int CONNECT_TIMEOUT_MS = 800;
    private static final double NANOS_IN_MILLI = 1e6;
    /** So many times as long between pings where nothing is waited for. */
    private static final int IDLE_PING_FACTOR = 6;
    /** Pings whose answers are still told apart. */
    private static final int MAX_OUTSTANDING_PINGS = 16;

    private final EventLoop loop;
    private final SocketAddress address;
    private final PeerMessage hello;
    private final Timeouts timeouts;
    private final Listener listener;
    private State state = State.DOWN;
    private PeerConnection connection;
    private Future<?> timer;
    private long heardAt;
    /** When the last pings left, by their number. */
    private final double[] sentAt = new double[MAX_OUTSTANDING_PINGS];

    private long pings;
    private boolean pinged;

    /** A connection that is not yet dialled. */
    public ReconnectingConnection(
            EventLoop loop, SocketAddress address, PeerMessage hello, Timeouts timeouts, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.hello = hello;
        this.timeouts = timeouts;
        this.listener = listener;
    }

    /** Begins to keep it. */
    public void dial() {
        if (state != State.DOWN) {
            return;
        }
        to(State.DIALLING);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(PeerConnection.handlers(new Handler()))
                .connect(address)
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        lost();
                    }
                });
    }

    /** Where it stands. */
    public State state() {
        return state;
    }

    /** Whether a message may be sent with hope of an answer. */
    public boolean isUp() {
        return state == State.UP;
    }

    /** The protocol version that both sides speak; the least one until the other side has greeted. */
    public int version() {
        return connection == null ? ProtocolVersion.UNVERSIONED : connection.version();
    }

    /** Sends a message; false if the connection is down. */
    public boolean send(PeerMessage message) {
        boolean can = connection != null && connection.isOpen();
        if (can) {
            connection.send(message);
        }
        return can;
    }

    /** Ends it for good. */
    public void close() {
        to(State.CLOSED);
        cancel();
        if (connection != null) {
            connection.close();
        }
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void to(State next) {
        if (state == next || state == State.CLOSED) {
            return;
        }
        State before = state;
        state = next;
        listener.changed(this, before);
    }

    private void lost() {
        connection = null;
        cancel();
        to(State.DOWN);
        if (state == State.DOWN) {
            long wait = timeouts.redial() + ThreadLocalRandom.current().nextLong(timeouts.redial());
            loop.schedule(this::dial, wait, TimeUnit.MILLISECONDS);
        }
    }

    private void checkLiveness() {
        double silent = (System.nanoTime() - heardAt) / NANOS_IN_MILLI;
        if (silent > timeouts.dead()) {
            connection.close();
            return;
        }
        if (silent > timeouts.suspect() && pinged) {
            to(State.SUSPECT);
        }
        // Whatever comes is a sign of life.
        boolean quiet = silent
                >= (listener.hasPendingRequests() || pinged ? timeouts.ping() / 2 : timeouts.ping() * IDLE_PING_FACTOR);
        if (quiet || listener.alwaysPings()) {
            ping();
        }
        timer = loop.schedule(
                this::checkLiveness,
                TimerGrid.untilNext(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(timeouts.ping())),
                TimeUnit.NANOSECONDS);
    }

    private void ping() {
        pinged = true;
        sentAt[(int) (++pings % MAX_OUTSTANDING_PINGS)] = System.nanoTime() / NANOS_IN_MILLI;
        connection.send(new PeerMessage.Ping(pings, listener.stamp()));
    }

    private final class Handler implements PeerConnection.MessageHandler {
        @Override
        public void connected(PeerConnection up) {
            if (state == State.CLOSED) {
                up.close();
                return;
            }
            connection = up;
            heardAt = System.nanoTime();
            pinged = false;
            up.send(hello);
            if (listener.stamp() != PeerMessage.UNSTAMPED) {
                // Ahead of all else: what comes later is compared with how long this was on its way.
                ping();
            }
            to(State.UP);
            checkLiveness();
        }

        @Override
        public void message(PeerConnection from, PeerMessage message) {
            heardAt = System.nanoTime();
            pinged = false;
            if (message instanceof PeerMessage.Pong pong
                    && pong.number() <= pings
                    && pong.number() > pings - MAX_OUTSTANDING_PINGS
                    && pong.number() > 0) {
                listener.pongReceived(sentAt[(int) (pong.number() % MAX_OUTSTANDING_PINGS)], pong);
            }
            if (state == State.SUSPECT) {
                to(State.UP);
            }
            if (!(message instanceof PeerMessage.Hello)) {
                listener.message(ReconnectingConnection.this, message);
            }
        }

        @Override
        public void disconnected(PeerConnection down) {
            if (connection == down) {
                lost();
            }
        }
    }
}
