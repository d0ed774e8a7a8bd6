package whinlead.mesh.wire;

import java.io.IOException;

/** A record that a later program wrote and that this one must not read: what it does not know matters. */
public final class LaterFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * What the record says, and what this program knows.
     *
     * @param readableFrom the oldest format whose readers may read it
     */
    LaterFormatException(int format, int readableFrom, int ours) {
        super("an acceptor's record of format " + format + " needs a program that knows format " + readableFrom
                + ", this one knows " + ours);
    }
}
