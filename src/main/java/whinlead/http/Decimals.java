package whinlead.http;

/**
 * Parses and formats the plain decimals exchanged with peers; Java's own parser would also accept {@code 1d} or
 * {@code 0x1p3}. Written by hand, since patterns and formats took a quarter of what a request allocates.
 */
public final class Decimals {
    /** Digits before the point, and after it; a long holds each. */
    private static final int MAX_DIGITS = 12;

    private static final long THOUSAND = 1000;

    private Decimals() {}

    /** The number, or NaN if it is malformed or greater than {@code max}. */
    public static double parse(String text, double max) {
        int point = text.indexOf('.');
        int whole = point < 0 ? text.length() : point;
        long before = digits(text, 0, whole);
        long after = point < 0 ? 0 : digits(text, point + 1, text.length());
        if (before < 0 || after < 0) {
            return Double.NaN;
        }
        double value = before + after / Math.pow(10, Math.max(0, text.length() - whole - 1));
        return value <= max ? value : Double.NaN;
    }

    // The value of these digits; negative if there are none, too many or other characters.
    private static long digits(String text, int from, int to) {
        if (to <= from || to - from > MAX_DIGITS) {
            return -1;
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = value * 10 + digit;
        }
        return value;
    }

    /** Formats a time in milliseconds as seconds with three decimals. */
    public static String seconds(double millis) {
        long rounded = Math.round(millis);
        return rounded / THOUSAND + "."
                + Long.toString(THOUSAND + rounded % THOUSAND).substring(1);
    }
}
