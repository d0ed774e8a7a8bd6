package whinlead.mesh.wire;

import java.io.IOException;

/** Bytes that are no message of the kind that they name. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    private final PeerMessageKind kind;

    /**
     * What is wrong with it.
     *
     * @param kind the kind that the bytes name, or null if they name none
     */
    MalformedMessageException(PeerMessageKind kind, Throwable cause) {
        super("malformed " + (kind == null ? "message" : kind) + ": " + cause.getMessage(), cause);
        this.kind = kind;
    }

    /** Whether what was lost with it is sent again anyway, so that the connection may go on. */
    public boolean repairedByRepetition() {
        return kind != null && kind.repeated();
    }
}
