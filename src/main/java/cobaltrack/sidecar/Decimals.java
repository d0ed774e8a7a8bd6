package cobaltrack.sidecar;

import java.util.regex.Pattern;

/**
 * Numbers as peers write them: plain decimals only, for Java alone would also take {@code 1d} or {@code
 * 0x1p3}.
 */
final class Decimals {
    private static final Pattern PLAIN = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    private Decimals() { }

    /** The number, or NaN if it is malformed or over {@code most}. */
    static double parse(String text, double most) {
        if (!PLAIN.matcher(text).matches()) {
            return Double.NaN;
        }
        double value = Double.parseDouble(text);
        return value <= most ? value : Double.NaN;
    }
}
