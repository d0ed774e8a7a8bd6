package whinlead.replication.net;

import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.function.Consumer;
import java.util.function.Supplier;
import whinlead.engine.Timers;
import whinlead.replication.wire.CopiesGrpc;
import whinlead.replication.wire.Wire;

/**
 * A process's stream to another process: reopened whenever it breaks, and cancelled if the peer doesn't answer pings,
 * since a network partition gives no error. Frames that can't be sent are dropped, since senders repeat their requests.
 * On the engine's thread.
 */
final class PeerConnection {
    private static final double RECONNECT_DELAY_MS = 100;
    private static final double PING_INTERVAL_MS = 300;
    private static final double SILENCE_TIMEOUT_MS = 1000;
    /** Limit of frames queued while the stream is not ready; more are dropped. */
    private static final long MAX_QUEUED_BYTES = 4L << 20;

    /** A connection that need not stay open is closed after no frame was sent for this long. */
    private static final double IDLE_TIMEOUT_MS = 10_000;

    private final ManagedChannel channel;
    private final Timers timers;
    private final boolean keepOpen;
    private final Supplier<Wire.Frame> pingSupplier;
    private final Consumer<Wire.Frame> frameListener;
    private final Runnable downListener;
    private Stream stream;
    private double lastSentMs;

    /**
     * Opens the connection.
     *
     * @param keepOpen whether it stays open while idle
     * @param pingSupplier creates the pings
     * @param frameListener receives the peer's frames, except pings
     * @param downListener is notified when an established stream breaks
     */
    PeerConnection(
            ManagedChannel channel,
            Timers timers,
            boolean keepOpen,
            Supplier<Wire.Frame> pingSupplier,
            Consumer<Wire.Frame> frameListener,
            Runnable downListener) {
        this.channel = channel;
        this.timers = timers;
        this.keepOpen = keepOpen;
        this.pingSupplier = pingSupplier;
        this.frameListener = frameListener;
        this.downListener = downListener;
        lastSentMs = timers.nowMs();
        open();
    }

    private void open() {
        if (stream == null && (keepOpen || timers.nowMs() - lastSentMs < IDLE_TIMEOUT_MS)) {
            Stream opened = new Stream();
            stream = opened;
            CopiesGrpc.newStub(channel).talk(opened);
            opened.ping();
        }
    }

    /** Sends a frame without a guarantee of delivery. */
    void send(Wire.Frame frame) {
        boolean idle = !keepOpen && timers.nowMs() - lastSentMs >= IDLE_TIMEOUT_MS;
        lastSentMs = timers.nowMs();
        if (idle) {
            open();
        }
        if (stream != null) {
            stream.send(frame);
        }
    }

    private final class Stream implements ClientResponseObserver<Wire.Frame, Wire.Frame> {
        private ClientCallStreamObserver<Wire.Frame> call;
        private long queuedBytes;
        private boolean established;
        private double lastReceivedMs = timers.nowMs();

        @Override
        public void beforeStart(ClientCallStreamObserver<Wire.Frame> startedCall) {
            call = startedCall;
            call.setOnReadyHandler(() -> queuedBytes = 0);
        }

        private void send(Wire.Frame frame) {
            if (!call.isReady()) {
                queuedBytes += frame.getSerializedSize();
                if (queuedBytes > MAX_QUEUED_BYTES) {
                    return;
                }
            }
            call.onNext(frame);
        }

        private void ping() {
            if (stream != this) {
                return;
            }
            if (!keepOpen && timers.nowMs() - lastSentMs >= IDLE_TIMEOUT_MS) {
                stream = null;
                call.onCompleted();
                channel.enterIdle();
                return;
            }
            if (timers.nowMs() - lastReceivedMs > SILENCE_TIMEOUT_MS) {
                // The connection is closed too: a new stream on it would get no answers either.
                call.cancel("silent", null);
                channel.enterIdle();
                handleBroken();
                return;
            }
            send(pingSupplier.get());
            timers.schedule(PING_INTERVAL_MS, this::ping);
        }

        @Override
        public void onNext(Wire.Frame frame) {
            established = true;
            lastReceivedMs = timers.nowMs();
            if (frame.getWhatCase() != Wire.Frame.WhatCase.PING && stream == this) {
                frameListener.accept(frame);
            }
        }

        @Override
        public void onError(Throwable fault) {
            handleBroken();
        }

        @Override
        public void onCompleted() {
            handleBroken();
        }

        private void handleBroken() {
            if (stream != this) {
                return;
            }
            stream = null;
            if (established) {
                downListener.run();
            }
            channel.resetConnectBackoff();
            timers.schedule(RECONNECT_DELAY_MS, PeerConnection.this::open);
        }
    }
}
