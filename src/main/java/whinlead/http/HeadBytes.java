package whinlead.http;

import io.netty.buffer.ByteBuf;

/**
 * Finds bytes that may not stand anywhere in the head of a message: control bytes other than the tab and the line ends.
 * Netty's decoder drops some of them, at the edges of folded lines, and lets others pass in reason phrases.
 * Thread-safe.
 */
final class HeadBytes {
    private static final byte TAB = '\t';
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte FIRST_PRINTABLE = ' ';
    private static final byte DELETE = 0x7f;

    private HeadBytes() {}

    /** Whether the part of a head that has arrived is invalid; it begins with its first line, or empty lines before. */
    static boolean isInvalidFromStatusLine(ByteBuf in) {
        int start = in.readerIndex();
        while (start < in.writerIndex() && isLineEnd(in.getByte(start))) {
            start++;
        }
        return isInvalid(in, start);
    }

    /** Whether the part of a head that has arrived is invalid; it begins with a line that is not the first. */
    static boolean isInvalidFromFieldLine(ByteBuf in) {
        return isInvalid(in, in.readerIndex());
    }

    // Reads to the empty line that ends the head, or as far as bytes have arrived.
    private static boolean isInvalid(ByteBuf in, int start) {
        boolean lineIsEmpty = true;
        for (int i = start; i < in.writerIndex(); i++) {
            byte next = in.getByte(i);
            if (next == LINE_FEED) {
                if (lineIsEmpty) {
                    return false;
                }
                lineIsEmpty = true;
            } else if (next == CARRIAGE_RETURN) {
                if (i + 1 < in.writerIndex() && in.getByte(i + 1) != LINE_FEED) {
                    return true;
                }
            } else if (isControl(next)) {
                return true;
            } else {
                lineIsEmpty = false;
            }
        }
        return false;
    }

    private static boolean isLineEnd(byte value) {
        return value == LINE_FEED || value == CARRIAGE_RETURN;
    }

    // Bytes beyond ASCII are negative and may stand in values.
    private static boolean isControl(byte value) {
        return value >= 0 && value < FIRST_PRINTABLE && value != TAB || value == DELETE;
    }
}
