package whinlead.mesh.wire;

import java.io.IOException;

/** Bytes that are not a valid message of the kind that they name. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    private final PeerMessageKind kind;

    /**
     * Creates an exception with its cause.
     *
     * @param kind the kind that the bytes name, or null if they name none
     */
    MalformedMessageException(PeerMessageKind kind, Throwable cause) {
        super("malformed " + (kind == null ? "message" : kind) + ": " + cause.getMessage(), cause);
        this.kind = kind;
    }

    /** Whether the sender repeats such messages anyway, so that the connection may stay open. */
    public boolean isRepeatedBySender() {
        return kind != null && kind.isRepeated();
    }
}
