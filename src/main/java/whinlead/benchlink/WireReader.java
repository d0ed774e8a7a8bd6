package whinlead.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads lines and splits them into fields without allocating an object for each. */
final class WireReader {
    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int nextLineStart;
    private int bufferEnd;
    private int lineStart;
    private int lineEnd;
    private int nextField;
    private int fieldStart;
    private int fieldEnd;
    private long lineNumber;

    WireReader(InputStream in) {
        this.in = in;
    }

    /** Advances to the next line; false at the end of input. */
    boolean nextLine() throws IOException {
        int scan = nextLineStart;
        while (true) {
            for (; scan < bufferEnd; scan++) {
                if (buffer[scan] == '\n') {
                    startLine(nextLineStart, scan);
                    nextLineStart = scan + 1;
                    return true;
                }
            }
            int unread = bufferEnd - nextLineStart;
            if (nextLineStart > 0) {
                System.arraycopy(buffer, nextLineStart, buffer, 0, unread);
            } else if (unread == buffer.length) {
                buffer = Arrays.copyOf(buffer, buffer.length * 2);
            }
            nextLineStart = 0;
            bufferEnd = unread;
            scan = unread;
            int count = in.read(buffer, bufferEnd, buffer.length - bufferEnd);
            if (count < 0) {
                if (unread == 0) {
                    return false;
                }
                lineNumber++;
                throw fault("line", "truncated by the end of input");
            }
            bufferEnd += count;
        }
    }

    private void startLine(int from, int to) {
        lineStart = from;
        lineEnd = to > from && buffer[to - 1] == '\r' ? to - 1 : to;
        nextField = lineStart;
        lineNumber++;
    }

    boolean blank() {
        return lineStart == lineEnd;
    }

    /** Advances to the next field, which must be present. */
    void field(String name) {
        if (nextField > lineEnd || nextField == lineEnd && lineStart != lineEnd && nextField != lineStart) {
            throw fault(name, "missing");
        }
        fieldStart = nextField;
        while (nextField < lineEnd && buffer[nextField] != ' ') {
            nextField++;
        }
        fieldEnd = nextField;
        nextField++;
        if (fieldStart == fieldEnd) {
            throw fault(name, "empty");
        }
    }

    /** Whether the line has another field. */
    boolean hasMore() {
        return nextField < lineEnd;
    }

    /** Advances to the next field, or to an absent one at the end of the line. */
    private void optionalField(String name) {
        if (hasMore()) {
            field(name);
        } else {
            fieldStart = 0;
            fieldEnd = 0;
        }
    }

    private boolean absent() {
        return fieldStart == fieldEnd || fieldEnd - fieldStart == 1 && buffer[fieldStart] == '-';
    }

    boolean fieldEquals(String word) {
        if (fieldEnd - fieldStart != word.length()) {
            return false;
        }
        for (int i = 0; i < word.length(); i++) {
            if (buffer[fieldStart + i] != word.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    String text() {
        return new String(buffer, fieldStart, fieldEnd - fieldStart, StandardCharsets.UTF_8);
    }

    String word(String name) {
        field(name);
        return text();
    }

    /** The rest of the line. */
    String rest() {
        String s =
                nextField >= lineEnd ? "" : new String(buffer, nextField, lineEnd - nextField, StandardCharsets.UTF_8);
        nextField = lineEnd;
        return s;
    }

    /**
     * Returns the index of the next field in the options. If it may be absent, -1 stands for an absent field, and also
     * for "0" where that is not an option; any other value is a fault.
     */
    int choice(String name, byte[][] options, boolean mayBeAbsent) {
        if (mayBeAbsent) {
            optionalField(name);
            if (absent()) {
                return -1;
            }
        } else {
            field(name);
        }
        for (int i = 0; i < options.length; i++) {
            byte[] option = options[i];
            if (option.length == fieldEnd - fieldStart
                    && Arrays.equals(option, 0, option.length, buffer, fieldStart, fieldEnd)) {
                return i;
            }
        }
        if (mayBeAbsent && fieldEquals("0")) {
            return -1;
        }
        throw fault(name, "'" + text() + "' is not a known value");
    }

    long integer(String name) {
        field(name);
        long value = 0;
        int i = fieldStart;
        boolean minus = buffer[i] == '-';
        if (minus) {
            i++;
        }
        if (i == fieldEnd || fieldEnd - i > 18) {
            throw fault(name, "'" + text() + "' is not a whole number");
        }
        for (; i < fieldEnd; i++) {
            int d = buffer[i] - '0';
            if (d < 0 || d > 9) {
                throw fault(name, "'" + text() + "' is not a whole number");
            }
            value = value * 10 + d;
        }
        return minus ? -value : value;
    }

    int nonNegativeInt(String name) {
        long value = integer(name);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw fault(name, "'" + value + "' is out of range");
        }
        return (int) value;
    }

    boolean flag(String name, boolean absentValue) {
        optionalField(name);
        if (absent()) {
            return absentValue;
        }
        if (fieldEquals("1")) {
            return true;
        }
        if (fieldEquals("0")) {
            return false;
        }
        throw fault(name, "'" + text() + "' is neither 0 nor 1");
    }

    double number(String name) {
        field(name);
        return parse(name, fieldStart, fieldEnd);
    }

    double number(String name, double absentValue) {
        optionalField(name);
        return absent() ? absentValue : parse(name, fieldStart, fieldEnd);
    }

    private static final double[] POWERS_OF_TEN = {1, 10, 100, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9};

    private double parse(String name, int from, int to) {
        long mantissa = 0;
        int digits = 0;
        int decimals = -1;
        int i = from;
        boolean minus = i < to && buffer[i] == '-';
        if (minus) {
            i++;
        }
        for (; i < to; i++) {
            byte b = buffer[i];
            if (b == '.' && decimals < 0) {
                decimals = 0;
            } else if (b >= '0' && b <= '9') {
                mantissa = mantissa * 10 + (b - '0');
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
        double d = decimals > 0 ? mantissa / POWERS_OF_TEN[decimals] : mantissa;
        return minus ? -d : d;
    }

    private double slowParse(String name, int from, int to) {
        String s = new String(buffer, from, to - from, StandardCharsets.UTF_8);
        try {
            double d = Double.parseDouble(s);
            if (!Double.isNaN(d) && !Double.isInfinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw fault(name, "'" + s + "' is not a number");
    }

    /** Reads a load report; false if the field is absent. */
    boolean report(String name, double[] values, byte[][] names) {
        optionalField(name);
        if (absent()) {
            return false;
        }
        Arrays.fill(values, Double.NaN);
        int i = fieldStart;
        while (i < fieldEnd) {
            int colon = i;
            while (colon < fieldEnd && buffer[colon] != ':') {
                colon++;
            }
            int stop = colon;
            while (stop < fieldEnd && buffer[stop] != ',') {
                stop++;
            }
            if (colon == fieldEnd) {
                throw fault(name, "'" + text() + "' is not a list of name:value pairs");
            }
            for (int k = 0; k < names.length; k++) {
                if (Arrays.equals(names[k], 0, names[k].length, buffer, i, colon)) {
                    values[k] = parse(name, colon + 1, stop);
                }
            }
            i = stop + 1;
        }
        return true;
    }

    WireException fault(String field, String problem) {
        return new WireException("line " + lineNumber + ": field " + field + ": " + problem);
    }
}
