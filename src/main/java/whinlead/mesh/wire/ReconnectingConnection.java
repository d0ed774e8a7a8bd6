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
 * A connection that is re-established when it breaks and monitored by pings, because a machine without power or behind
 * a network cut sends nothing. Used on its event loop's thread.
 */
public final class ReconnectingConnection {
    /** State of the connection. */
    public enum State {
        /** Not connected. */
        DOWN,
        /** Being connected. */
        DIALLING,
        /** Connected, and messages arrive. */
        UP,
        /** Connected, but nothing has arrived for a while. */
        SUSPECT,
        /** Closed permanently. */
        CLOSED
    }

    /**
     * Time limits in milliseconds.
     *
     * @param pingMs interval between two pings
     * @param suspectMs silence after which the connection is suspected
     * @param deadMs silence after which it is closed
     * @param redialMs minimum delay before it is connected again; the maximum is twice as long
     */
    public record Timeouts(long pingMs, long suspectMs, long deadMs, long redialMs) {}

    /** Receives the events of the connection. */
    public interface Listener {
        /** The state has changed. */
        void stateChanged(ReconnectingConnection connection, State previous);

        /** A message was received. */
        void messageReceived(ReconnectingConnection connection, PeerMessage message);

        /** A ping was answered that was sent at this time, by the loop's steady clock in milliseconds. */
        default void pongReceived(double sentAtMs, PeerMessage.Pong pong) {}

        /** Whether pings are sent even while other messages arrive, because only their answers prove contact. */
        default boolean alwaysPings() {
            return false;
        }

        /** The sending time of a ping, in microseconds of a steady clock. */
        default long sendingTimeMicros() {
            return PeerMessage.UNSTAMPED;
        }

        /** Whether answers are pending; if not, pings are sent less often. */
        default boolean hasPendingRequests() {
            return true;
        }
    }

    private static final int CONNECT_TIMEOUT_MS = 800;
    private static final double NANOS_PER_MILLI = 1e6;
    /** Factor on the interval between pings while nothing is pending. */
    private static final int IDLE_PING_FACTOR = 6;
    /** Number of latest pings whose answers are recognized. */
    private static final int MAX_OUTSTANDING_PINGS = 16;

    private final EventLoop loop;
    private final SocketAddress address;
    private final PeerMessage hello;
    private final Timeouts timeouts;
    private final Listener listener;
    private State state = State.DOWN;
    private PeerConnection connection;
    private Future<?> timer;
    private long lastReceivedNanos;
    /** Sending times of the latest pings in milliseconds, by their number. */
    private final double[] pingSentAtMs = new double[MAX_OUTSTANDING_PINGS];

    private long pingCount;
    private boolean isPingPending;

    /** Creates a connection in state {@link State#DOWN}. */
    public ReconnectingConnection(
            EventLoop loop, SocketAddress address, PeerMessage hello, Timeouts timeouts, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.hello = hello;
        this.timeouts = timeouts;
        this.listener = listener;
    }

    /** Connects, unless the connection is in a state other than {@link State#DOWN}. */
    public void dial() {
        if (state != State.DOWN) {
            return;
        }
        changeState(State.DIALLING);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(PeerConnection.handlers(new Handler()))
                .connect(address)
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        handleDisconnect();
                    }
                });
    }

    /** The state of the connection. */
    public State state() {
        return state;
    }

    /** Whether the connection is {@link State#UP}, so that an answer can be expected. */
    public boolean isUp() {
        return state == State.UP;
    }

    /** The protocol version that both sides use; the lowest one until the other side's greeting has arrived. */
    public int version() {
        return connection == null ? ProtocolVersion.UNVERSIONED : connection.version();
    }

    /** Sends a message; returns false if the connection is not open or the message is too long. */
    public boolean send(PeerMessage message) {
        return connection != null && connection.isOpen() && connection.trySend(message);
    }

    /** Closes the connection permanently. */
    public void close() {
        changeState(State.CLOSED);
        cancelTimer();
        if (connection != null) {
            connection.close();
        }
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void changeState(State newState) {
        if (state == newState || state == State.CLOSED) {
            return;
        }
        State previous = state;
        state = newState;
        listener.stateChanged(this, previous);
    }

    private void handleDisconnect() {
        connection = null;
        cancelTimer();
        changeState(State.DOWN);
        if (state == State.DOWN) {
            long delayMs = timeouts.redialMs() + ThreadLocalRandom.current().nextLong(timeouts.redialMs());
            loop.schedule(this::dial, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void checkLiveness() {
        double silenceMs = (System.nanoTime() - lastReceivedNanos) / NANOS_PER_MILLI;
        if (silenceMs > timeouts.deadMs()) {
            connection.close();
            return;
        }
        if (silenceMs > timeouts.suspectMs() && isPingPending) {
            changeState(State.SUSPECT);
        }
        // Any received message shows that the other side is alive.
        boolean isQuiet = silenceMs
                >= (listener.hasPendingRequests() || isPingPending
                        ? timeouts.pingMs() / 2
                        : timeouts.pingMs() * IDLE_PING_FACTOR);
        if (isQuiet || listener.alwaysPings()) {
            ping();
        }
        timer = loop.schedule(
                this::checkLiveness,
                TimerGrid.nanosUntilNext(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(timeouts.pingMs())),
                TimeUnit.NANOSECONDS);
    }

    private void ping() {
        isPingPending = true;
        pingSentAtMs[(int) (++pingCount % MAX_OUTSTANDING_PINGS)] = System.nanoTime() / NANOS_PER_MILLI;
        connection.send(new PeerMessage.Ping(pingCount, listener.sendingTimeMicros()));
    }

    private final class Handler implements PeerConnection.MessageHandler {
        @Override
        public void connected(PeerConnection newConnection) {
            if (state == State.CLOSED) {
                newConnection.close();
                return;
            }
            connection = newConnection;
            lastReceivedNanos = System.nanoTime();
            isPingPending = false;
            newConnection.send(hello);
            if (listener.sendingTimeMicros() != PeerMessage.UNSTAMPED) {
                // Sent before all other messages: the transit times of later messages are compared with this one's.
                ping();
            }
            changeState(State.UP);
            checkLiveness();
        }

        @Override
        public void message(PeerConnection source, PeerMessage message) {
            lastReceivedNanos = System.nanoTime();
            isPingPending = false;
            if (message instanceof PeerMessage.Pong pong
                    && pong.number() <= pingCount
                    && pong.number() > pingCount - MAX_OUTSTANDING_PINGS
                    && pong.number() > 0) {
                listener.pongReceived(pingSentAtMs[(int) (pong.number() % MAX_OUTSTANDING_PINGS)], pong);
            }
            if (state == State.SUSPECT) {
                changeState(State.UP);
            }
            if (!(message instanceof PeerMessage.Hello)) {
                listener.messageReceived(ReconnectingConnection.this, message);
            }
        }

        @Override
        public void disconnected(PeerConnection closedConnection) {
            if (connection == closedConnection) {
                handleDisconnect();
            }
        }
    }
}
