package whinlead.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

/**
 * Finds control bytes in the folded lines of a head, which begin with a blank. Netty's decoder trims them there, while
 * it rejects them in other lines. Thread-safe.
 */
final class FoldedLines {
    private FoldedLines() {}

    /**
     * Whether there is one in the part of a head that has arrived, from its status line or empty lines before it on.
     */
    static boolean haveControlByteFromStatusLine(ByteBuf in) {
        int start = in.readerIndex();
        while (start < in.writerIndex() && isLineEnd(in.getByte(start))) {
            start++;
        }
        return haveControlByte(in, start);
    }

    /** Whether there is one in the part of a head that has arrived, from the start of a later line on. */
    static boolean haveControlByteFromFieldLine(ByteBuf in) {
        return haveControlByte(in, in.readerIndex());
    }

    // Looks at the lines up to the empty one that ends the head, or as far as bytes have arrived.
    private static boolean haveControlByte(ByteBuf in, int start) {
        int lineStart = start;
        while (lineStart < in.writerIndex() && !isLineEnd(in.getByte(lineStart))) {
            int lineFeed = in.indexOf(lineStart, in.writerIndex(), HttpConstants.LF);
            int lineEnd = lineFeed < 0 ? in.writerIndex() : lineFeed;
            if (isBlank(in.getByte(lineStart)) && hasControlByte(in, lineStart, lineEnd)) {
                return true;
            }
            lineStart = lineEnd + 1;
        }
        return false;
    }

    private static boolean hasControlByte(ByteBuf in, int lineStart, int lineEnd) {
        for (int i = lineStart; i < lineEnd; i++) {
            boolean endsLine = i == lineEnd - 1 && in.getByte(i) == HttpConstants.CR;
            if (!endsLine && StatusLine.isControl(in.getUnsignedByte(i))) {
                return true;
            }
        }
        return false;
    }

    private static boolean isLineEnd(byte value) {
        return value == HttpConstants.LF || value == HttpConstants.CR;
    }

    private static boolean isBlank(byte value) {
        return value == HttpConstants.SP || value == HttpConstants.HT;
    }
}
