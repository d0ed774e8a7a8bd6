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
 * A process's stream to another member: opened again whenever it breaks, and given up where the other side doesn't
 * answer, since a cut network tells nothing. What can't be sent is lost, for whoever needs it asks again. On the
 * engine's thread.
 */
final class Line {
    private static final double AGAIN_MS = 100;
    private static final double PING_EVERY_MS = 300;
    private static final double SILENCE_MS = 1000;
    /** What waits for a line that does not take it; more is lost. */
    private static final long MAX_WAITING = 4L << 20;

    /** Nothing was said for so long: a line that need not be up is let go. */
    private static final double QUIET_MS = 10_000;

    private final ManagedChannel channel;
    private final Timers timers;
    private final boolean always;
    private final Supplier<Wire.Frame> ping;
    private final Consumer<Wire.Frame> heard;
    private final Runnable down;
    private Stream stream;
    private double lastSent;

    /**
     * A line that opens itself.
     *
     * @param always whether it is kept up while nothing is said
     * @param ping makes what is sent now and then
     * @param heard hears what comes back, pings not
     * @param down hears that a line that was up is not any more
     */
    Line(
            ManagedChannel channel,
            Timers timers,
            boolean always,
            Supplier<Wire.Frame> ping,
            Consumer<Wire.Frame> heard,
            Runnable down) {
        this.channel = channel;
        this.timers = timers;
        this.always = always;
        this.ping = ping;
        this.heard = heard;
        this.down = down;
        lastSent = timers.now();
        open();
    }

    private void open() {
        if (stream == null && (always || timers.now() - lastSent < QUIET_MS)) {
            Stream opened = new Stream();
            stream = opened;
            CopiesGrpc.newStub(channel).talk(opened);
            opened.ping();
        }
    }

    /** Sends it, or loses it. */
    void send(Wire.Frame frame) {
        boolean asleep = !always && timers.now() - lastSent >= QUIET_MS;
        lastSent = timers.now();
        if (asleep) {
            open();
        }
        if (stream != null) {
            stream.send(frame);
        }
    }

    private final class Stream implements ClientResponseObserver<Wire.Frame, Wire.Frame> {
        private ClientCallStreamObserver<Wire.Frame> out;
        private long waiting;
        private boolean up;
        private double lastHeard = timers.now();

        @Override
        public void beforeStart(ClientCallStreamObserver<Wire.Frame> call) {
            out = call;
            out.setOnReadyHandler(() -> waiting = 0);
        }

        private void send(Wire.Frame frame) {
            if (!out.isReady()) {
                waiting += frame.getSerializedSize();
                if (waiting > MAX_WAITING) {
                    return;
                }
            }
            out.onNext(frame);
        }

        private void ping() {
            if (stream != this) {
                return;
            }
            if (!always && timers.now() - lastSent >= QUIET_MS) {
                stream = null;
                out.onCompleted();
                channel.enterIdle();
                return;
            }
            if (timers.now() - lastHeard > SILENCE_MS) {
                // Its connection goes too: a new stream on it would be as silent.
                out.cancel("silent", null);
                channel.enterIdle();
                broken();
                return;
            }
            send(ping.get());
            timers.after(PING_EVERY_MS, this::ping);
        }

        @Override
        public void onNext(Wire.Frame frame) {
            up = true;
            lastHeard = timers.now();
            if (frame.getWhatCase() != Wire.Frame.WhatCase.PING && stream == this) {
                heard.accept(frame);
            }
        }

        @Override
        public void onError(Throwable fault) {
            broken();
        }

        @Override
        public void onCompleted() {
            broken();
        }

        private void broken() {
            if (stream != this) {
                return;
            }
            stream = null;
            if (up) {
                down.run();
            }
            channel.resetConnectBackoff();
            timers.after(AGAIN_MS, Line.this::open);
        }
    }
}
