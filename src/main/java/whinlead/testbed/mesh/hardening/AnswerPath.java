package whinlead.testbed.mesh.hardening;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import whinlead.mesh.sidecar.EndpointConnections;
import whinlead.mesh.sidecar.PeerPath;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/**
 * A way to another sidecar that is sound, with the real line to the endpoint beside that one. One thread; driven time.
 */
final class AnswerPath implements PeerPath {
    private static final double DIAL_MS = 1;
    private static final double REDIAL_MS = 250;
    private static final double SILENCE_MS = 400;
    private static final int FULL_ONE_OF = 20;

    private final Calendar calendar;
    private final SplittableRandom random;
    private final PeerPath.Listener ear;
    private final AnswerBug bug;
    private final EndpointConnections line;
    private final Map<Long, EndpointConnections.Sent> sent = new HashMap<>();
    private ReconnectingConnection.State state = ReconnectingConnection.State.DOWN;
    private int connection;
    private double thereAt;
    private double backAt;

    AnswerPath(
            Calendar calendar, SplittableRandom random, PeerPath.Listener ear, AnswerEndpoint endpoint, AnswerBug bug) {
        this.calendar = calendar;
        this.random = random;
        this.ear = ear;
        this.bug = bug;
        this.line = new EndpointConnections(calendar, endpoint::connect);
    }

    private void to(ReconnectingConnection.State next) {
        ReconnectingConnection.State before = state;
        state = next;
        ear.changed(next, before);
    }

    /** Ends the connection and makes another: a planted fault. */
    void reconnect() {
        if (state == ReconnectingConnection.State.UP) {
            connection++;
            to(ReconnectingConnection.State.DOWN);
            calendar.after(REDIAL_MS, this::dial);
        }
    }

    @Override
    public void dial() {
        to(ReconnectingConnection.State.DIALLING);
        calendar.after(DIAL_MS, () -> to(ReconnectingConnection.State.UP));
    }

    @Override
    public ReconnectingConnection.State state() {
        return state;
    }

    @Override
    public void close() {
        connection++;
        to(ReconnectingConnection.State.CLOSED);
    }

    @Override
    public boolean send(PeerMessage message) {
        byte[] written = PeerMessageCodec.write(message);
        int mine = connection;
        thereAt = Math.max(thereAt, calendar.now() + random.nextInt(3));
        calendar.at(thereAt, () -> {
            PeerMessage read = read(written);
            if (read instanceof PeerMessage.ForwardRequest request) {
                take(request, answer -> answer(mine, answer));
            } else if (read instanceof PeerMessage.Cancel cancel && sent.containsKey(cancel.stream())) {
                sent.get(cancel.stream()).cancel(cancel.whileRunning());
            }
        });
        return true;
    }

    private void answer(int mine, PeerMessage message) {
        byte[] written = PeerMessageCodec.write(message);
        backAt = Math.max(backAt, calendar.now() + random.nextInt(3));
        calendar.at(backAt, () -> {
            if (mine == connection) {
                ear.message(read(written));
            }
        });
    }

    private static PeerMessage read(byte[] written) {
        try {
            return PeerMessageCodec.read(written);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void take(PeerMessage.ForwardRequest request, Consumer<PeerMessage> answer) {
        if (random.nextInt(FULL_ONE_OF) == 0) {
            answer.accept(new PeerMessage.ForwardFailure(request.stream(), PeerMessage.FailureReason.FULL, 0, 0));
            return;
        }
        boolean[] told = {false};
        sent.put(request.stream(), line.send(request, request.endpoint(), message -> {
            sent.remove(request.stream());
            if (!told[0]) {
                told[0] = true;
                answer.accept(passedOn(request, message));
            }
        }));
        if (bug == AnswerBug.GIVES_UP_ON_SILENCE) {
            calendar.after(SILENCE_MS, () -> {
                if (!told[0]) {
                    told[0] = true;
                    answer.accept(
                            new PeerMessage.ForwardFailure(request.stream(), PeerMessage.FailureReason.BROKEN, 0, 0));
                }
            });
        }
    }

    private PeerMessage passedOn(PeerMessage.ForwardRequest request, PeerMessage message) {
        boolean spoilt = message instanceof PeerMessage.ForwardFailure r && r.why() == PeerMessage.FailureReason.BROKEN;
        if (bug != AnswerBug.PASSES_HEADERS_OF_SPOILT_ANSWERS || !spoilt) {
            return message;
        }
        String id = request.headers().get(request.headers().indexOf("Attempt-Id") + 1);
        return new PeerMessage.ForwardResponse(
                request.stream(),
                502,
                List.of("Attempt-Id", id, "Server-Seal", AnswerEndpoint.seal(id, 200)),
                new byte[0],
                0,
                0);
    }
}
