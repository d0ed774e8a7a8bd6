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
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/**
 * A fault-free path to another sidecar, with the real connections to that sidecar's endpoint. Single-threaded, with
 * driven time.
 */
final class AnswerPath implements PeerPath {
    private static final double DIAL_MS = 1;
    private static final double REDIAL_MS = 250;
    private static final double SILENCE_MS = 400;
    private static final int FULL_PERIOD = 20;

    private final Calendar calendar;
    private final SplittableRandom random;
    private final PeerPath.Listener listener;
    private final AnswerBug bug;
    private final EndpointConnections endpointConnections;
    private final Map<Long, EndpointConnections.SentRequest> sent = new HashMap<>();
    private ReconnectingConnection.State state = ReconnectingConnection.State.DOWN;
    private int connection;
    private double nextArrivalMs;
    private double nextReturnMs;

    AnswerPath(
            Calendar calendar,
            SplittableRandom random,
            PeerPath.Listener listener,
            AnswerEndpoint endpoint,
            AnswerBug bug) {
        this.calendar = calendar;
        this.random = random;
        this.listener = listener;
        this.bug = bug;
        this.endpointConnections = new EndpointConnections(calendar, endpoint::connect);
    }

    private void setState(ReconnectingConnection.State next) {
        ReconnectingConnection.State before = state;
        state = next;
        listener.stateChanged(next, before);
    }

    /** Closes the connection and makes another one: a planted fault. */
    void reconnect() {
        if (state == ReconnectingConnection.State.UP) {
            connection++;
            setState(ReconnectingConnection.State.DOWN);
            calendar.schedule(REDIAL_MS, this::dial);
        }
    }

    @Override
    public int version() {
        return ProtocolVersion.SUPPORTED.newest();
    }

    @Override
    public void dial() {
        setState(ReconnectingConnection.State.DIALLING);
        calendar.schedule(DIAL_MS, () -> setState(ReconnectingConnection.State.UP));
    }

    @Override
    public ReconnectingConnection.State state() {
        return state;
    }

    @Override
    public void close() {
        connection++;
        setState(ReconnectingConnection.State.CLOSED);
    }

    @Override
    public boolean send(PeerMessage message) {
        byte[] written = PeerMessageCodec.write(message);
        int sentOn = connection;
        nextArrivalMs = Math.max(nextArrivalMs, calendar.nowMs() + random.nextInt(3));
        calendar.scheduleAt(nextArrivalMs, () -> {
            PeerMessage read = read(written);
            if (read instanceof PeerMessage.ForwardRequest request) {
                forward(request, answer -> answer(sentOn, answer));
            } else if (read instanceof PeerMessage.Cancel cancel && sent.containsKey(cancel.stream())) {
                sent.get(cancel.stream()).cancel(cancel.whileRunning());
            }
        });
        return true;
    }

    private void answer(int receivedOn, PeerMessage message) {
        byte[] written = PeerMessageCodec.write(message);
        nextReturnMs = Math.max(nextReturnMs, calendar.nowMs() + random.nextInt(3));
        calendar.scheduleAt(nextReturnMs, () -> {
            if (receivedOn == connection) {
                listener.messageReceived(read(written));
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

    private void forward(PeerMessage.ForwardRequest request, Consumer<PeerMessage> answer) {
        if (random.nextInt(FULL_PERIOD) == 0) {
            answer.accept(new PeerMessage.ForwardFailure(request.stream(), PeerMessage.FailureReason.FULL, 0, 0));
            return;
        }
        boolean[] answered = {false};
        sent.put(request.stream(), endpointConnections.send(request, request.endpoint(), message -> {
            sent.remove(request.stream());
            if (!answered[0]) {
                answered[0] = true;
                answer.accept(withPlantedFault(request, message));
            }
        }));
        if (bug == AnswerBug.GIVES_UP_ON_SILENCE) {
            calendar.schedule(SILENCE_MS, () -> {
                if (!answered[0]) {
                    answered[0] = true;
                    answer.accept(
                            new PeerMessage.ForwardFailure(request.stream(), PeerMessage.FailureReason.BROKEN, 0, 0));
                }
            });
        }
    }

    private PeerMessage withPlantedFault(PeerMessage.ForwardRequest request, PeerMessage message) {
        boolean spoilt =
                message instanceof PeerMessage.ForwardFailure r && r.reason() == PeerMessage.FailureReason.BROKEN;
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
