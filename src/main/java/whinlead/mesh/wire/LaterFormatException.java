package whinlead.mesh.wire;

import java.io.IOException;

/**
 * A record of a later program that this one must not read, because it contains required fields that this program does
 * not know.
 */
public final class LaterFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with the record's formats and this program's.
     *
     * @param format of the record
     * @param readableFrom the oldest format whose programs may read it
     * @param knownFormat the latest format that this program knows
     */
    LaterFormatException(int format, int readableFrom, int knownFormat) {
        super("an acceptor's record of format " + format + " needs a program that knows format " + readableFrom
                + ", this one knows " + knownFormat);
    }
}
