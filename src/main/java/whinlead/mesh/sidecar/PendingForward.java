package whinlead.mesh.sidecar;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import whinlead.mesh.wire.PeerMessage;

/** A request that was passed to a path or to the local endpoint and has not ended. Used by one thread. */
final class PendingForward implements RequestForwarder.SentRequest {
    /** Maximum size of one part of a body, in bytes. Other messages are sent between the parts. */
    private static final int MAX_PART_BYTES = 64 << 10;

    private final Consumer<PeerMessage> resultListener;
    private final boolean repeatable;
    private final BooleanSupplier otherEndpointAllowed;
    private final BodyStream body;
    /** How many bytes of the body may be sent. */
    private long bodyCredit;

    private Runnable removal = () -> {};
    private Runnable cancelNotification = () -> {};
    private boolean written;
    private boolean ended;

    /**
     * Creates a request that is not written yet.
     *
     * @param resultListener gets the result once, unless the request is given up before
     * @param otherEndpointAllowed whether another endpoint may be tried; evaluated when the path becomes silent
     * @param body the body if it is sent in parts; null if the request contains it
     */
    PendingForward(
            Consumer<PeerMessage> resultListener,
            boolean repeatable,
            BooleanSupplier otherEndpointAllowed,
            BodyStream body) {
        this.resultListener = resultListener;
        this.repeatable = repeatable;
        this.otherEndpointAllowed = otherEndpointAllowed;
        this.body = body;
    }

    /** Sets what removes the request from its path. */
    void onRemoval(Runnable task) {
        removal = task;
    }

    /** Sets what notifies the other side that the client has disconnected. */
    void onCancel(Runnable task) {
        cancelNotification = task;
    }

    /** The body if it is sent in parts; null if the request contains it. */
    BodyStream body() {
        return body;
    }

    /** Whether the request, or its head, was written. */
    boolean isWritten() {
        return written;
    }

    /** Sets whether the request was written. */
    void setWritten(boolean newWritten) {
        written = newWritten;
    }

    /** Whether the request has its result or was given up. */
    boolean hasEnded() {
        return ended;
    }

    /** Ends the request with this result. */
    void end(PeerMessage result) {
        if (!ended) {
            ended = true;
            abandonBody();
            resultListener.accept(result);
        }
    }

    private void abandonBody() {
        if (body != null) {
            body.abandon();
        }
    }

    /**
     * Handles credit for further bytes of the body. The first credit shows that the sidecar beside the endpoint has
     * accepted the request.
     *
     * @param partSender sends a part of the body
     */
    void creditGranted(int bytes, Consumer<BodyStream.Part> partSender) {
        if (ended || body == null) {
            return;
        }
        boolean isFirst = bodyCredit == 0 && !body.isTaken();
        bodyCredit += bytes;
        if (isFirst) {
            body.open(() -> sendParts(partSender));
        } else {
            sendParts(partSender);
        }
    }

    private void sendParts(Consumer<BodyStream.Part> partSender) {
        while (!ended && bodyCredit > 0) {
            BodyStream.Part part = body.take((int) Math.min(MAX_PART_BYTES, bodyCredit));
            if (part == null) {
                return;
            }
            bodyCredit -= part.bytes().length;
            partSender.accept(part);
            body.release(part.bytes().length);
        }
    }

    /**
     * Whether the request fails at once on a silent path. Silence ends no request that can't be sent to another
     * endpoint.
     */
    boolean failsOnSilence() {
        return repeatable && (!written || otherEndpointAllowed.getAsBoolean());
    }

    // An endpoint must not wait for the rest of a body that will not be sent.
    @Override
    public boolean abort() {
        ended = true;
        abandonBody();
        if (!written) {
            removal.run();
        } else if (body != null && !body.isFinished()) {
            notifyCancelled();
        }
        return written;
    }

    @Override
    public void cancel() {
        if (!ended && abort()) {
            removal.run();
            notifyCancelled();
        }
    }

    private void notifyCancelled() {
        Runnable notification = cancelNotification;
        cancelNotification = () -> {};
        notification.run();
    }
}
