package whinlead.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads lines and splits them into fields, without making an object for each. */
final class WireReader {
    private final InputStream in;
    private byte[] buf = new byte[1 << 16];
    private int pos;
    private int limit;
    private int lineStart;
    private int lineEnd;
    private int cursor;
    private int start;
    private int end;
    private long lineNumber;

    WireReader(InputStream in) {
        this.in = in;
    }

    /** Steps to the next line; false at the end of input. */
    boolean nextLine() throws IOException {
        int scan = pos;
        while (true) {
            for (; scan < limit; scan++) {
                if (buf[scan] == '\n') {
                    take(pos, scan);
                    pos = scan + 1;
                    return true;
                }
            }
            int held = limit - pos;
            if (pos > 0) {
                System.arraycopy(buf, pos, buf, 0, held);
            } else if (held == buf.length) {
                buf = Arrays.copyOf(buf, buf.length * 2);
            }
            pos = 0;
            limit = held;
            scan = held;
            int n = in.read(buf, limit, buf.length - limit);
            if (n < 0) {
                if (held == 0) {
                    return false;
                }
                lineNumber++;
                throw fault("line", "cut short by the end of input");
            }
            limit += n;
        }
    }

    private void take(int from, int to) {
        lineStart = from;
        lineEnd = to > from && buf[to - 1] == '\r' ? to - 1 : to;
        cursor = lineStart;
        lineNumber++;
    }

    boolean blank() {
        return lineStart == lineEnd;
    }

    /** Steps to the next field, which must be there. */
    void field(String name) {
        if (cursor > lineEnd || cursor == lineEnd && lineStart != lineEnd && cursor != lineStart) {
            throw fault(name, "missing");
        }
        start = cursor;
        while (cursor < lineEnd && buf[cursor] != ' ') {
            cursor++;
        }
        end = cursor;
        cursor++;
        if (start == end) {
            throw fault(name, "empty");
        }
    }

    /** True if the line holds a further field. */
    boolean more() {
        return cursor < lineEnd;
    }

    /** Steps to the next field, or to an absent one where the line ends first. */
    private void optional(String name) {
        if (more()) {
            field(name);
        } else {
            start = 0;
            end = 0;
        }
    }

    private boolean absent() {
        return start == end || end - start == 1 && buf[start] == '-';
    }

    boolean is(String word) {
        if (end - start != word.length()) {
            return false;
        }
        for (int i = 0; i < word.length(); i++) {
            if (buf[start + i] != word.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    String text() {
        return new String(buf, start, end - start, StandardCharsets.UTF_8);
    }

    String word(String name) {
        field(name);
        return text();
    }

    /** The rest of the line. */
    String rest() {
        String s = cursor >= lineEnd ? "" : new String(buf, cursor, lineEnd - cursor, StandardCharsets.UTF_8);
        cursor = lineEnd;
        return s;
    }

    /** Which of these byte strings the next field is; -1 if it is absent, "0" or a fault where none fits. */
    int choice(String name, byte[][] options, boolean mayBeAbsent) {
        if (mayBeAbsent) {
            optional(name);
            if (absent()) {
                return -1;
            }
        } else {
            field(name);
        }
        for (int i = 0; i < options.length; i++) {
            byte[] o = options[i];
            if (o.length == end - start && Arrays.equals(o, 0, o.length, buf, start, end)) {
                return i;
            }
        }
        if (mayBeAbsent && is("0")) {
            return -1;
        }
        throw fault(name, "'" + text() + "' is not one of those known");
    }

    long integer(String name) {
        field(name);
        long v = 0;
        int i = start;
        boolean minus = buf[i] == '-';
        if (minus) {
            i++;
        }
        if (i == end || end - i > 18) {
            throw fault(name, "'" + text() + "' is not a whole number");
        }
        for (; i < end; i++) {
            int d = buf[i] - '0';
            if (d < 0 || d > 9) {
                throw fault(name, "'" + text() + "' is not a whole number");
            }
            v = v * 10 + d;
        }
        return minus ? -v : v;
    }

    int small(String name) {
        long v = integer(name);
        if (v < 0 || v > Integer.MAX_VALUE) {
            throw fault(name, "'" + v + "' is out of range");
        }
        return (int) v;
    }

    boolean flag(String name, boolean absentValue) {
        optional(name);
        if (absent()) {
            return absentValue;
        }
        if (is("1")) {
            return true;
        }
        if (is("0")) {
            return false;
        }
        throw fault(name, "'" + text() + "' is neither 0 nor 1");
    }

    double number(String name) {
        field(name);
        return parse(name, start, end);
    }

    double number(String name, double absentValue) {
        optional(name);
        return absent() ? absentValue : parse(name, start, end);
    }

    private static final double[] TENTHS = {1, 10, 100, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9};

    private double parse(String name, int from, int to) {
        long v = 0;
        int digits = 0;
        int decimals = -1;
        int i = from;
        boolean minus = i < to && buf[i] == '-';
        if (minus) {
            i++;
        }
        for (; i < to; i++) {
            byte b = buf[i];
            if (b == '.' && decimals < 0) {
                decimals = 0;
            } else if (b >= '0' && b <= '9') {
                v = v * 10 + (b - '0');
                digits++;
                if (decimals >= 0) {
                    decimals++;
                }
            } else {
                return slowParse(name, from, to);
            }
        }
        if (digits == 0 || digits > 17 || decimals > 9) {
            return slowParse(name, from, to);
        }
        double d = decimals > 0 ? v / TENTHS[decimals] : v;
        return minus ? -d : d;
    }

    private double slowParse(String name, int from, int to) {
        String s = new String(buf, from, to - from, StandardCharsets.UTF_8);
        try {
            double d = Double.parseDouble(s);
            if (!Double.isNaN(d) && !Double.isInfinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw fault(name, "'" + s + "' is not a number");
    }

    /** Steps to a load report; false if none is attached. */
    boolean report(String name, double[] into, byte[][] names) {
        optional(name);
        if (absent()) {
            return false;
        }
        Arrays.fill(into, Double.NaN);
        int i = start;
        while (i < end) {
            int colon = i;
            while (colon < end && buf[colon] != ':') {
                colon++;
            }
            int stop = colon;
            while (stop < end && buf[stop] != ',') {
                stop++;
            }
            if (colon == end) {
                throw fault(name, "'" + text() + "' is not made of name:value pairs");
            }
            for (int k = 0; k < names.length; k++) {
                if (Arrays.equals(names[k], 0, names[k].length, buf, i, colon)) {
                    into[k] = parse(name, colon + 1, stop);
                }
            }
            i = stop + 1;
        }
        return true;
    }

    WireException fault(String field, String what) {
        return new WireException("line " + lineNumber + ": field " + field + ": " + what);
    }
}
