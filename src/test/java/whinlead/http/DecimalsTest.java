package whinlead.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Random;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the hand-written parser and formatter of decimals with the library's patterns and formats. */
class DecimalsTest {
    private static final Pattern PLAIN = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ".",
                "1.",
                ".5",
                "1..2",
                "1.2.3",
                "-1",
                "+1",
                "1e3",
                "1d",
                "0x1p3",
                " 1",
                "1 ",
                "1,5",
                "1234567890123",
                "0.1234567890123",
                "NaN",
                "\u0661"
            })
    void malformedDecimalIsNaN(String text) {
        assertTrue(Double.isNaN(Decimals.parse(text, 1e15)), text);
    }

    @Test
    void randomTextIsParsedAsByThePatternAndTheLibrary() {
        Random random = new Random(4);
        for (int i = 0; i < 50_000; i++) {
            StringBuilder b = new StringBuilder();
            for (int n = random.nextInt(9); n >= 0; n--) {
                b.append("0123456789..e ".charAt(random.nextInt(14)));
            }
            double value = Decimals.parse(b.toString(), 1e15);
            if (PLAIN.matcher(b).matches()) {
                assertEquals(Double.parseDouble(b.toString()), value, value * 1e-15, b.toString());
            } else {
                assertTrue(Double.isNaN(value), b.toString());
            }
        }
    }

    @Test
    void valueAboveTheMaximumIsNaN() {
        assertEquals(5, Decimals.parse("5", 5));
        assertTrue(Double.isNaN(Decimals.parse("5.001", 5)));
    }

    @Test
    void secondsAreFormattedAsByTheLibrary() {
        Random random = new Random(4);
        for (int i = 0; i < 10_000; i++) {
            double millis = Math.rint(random.nextDouble() * 100_000);
            assertEquals(String.format(Locale.ROOT, "%.3f", millis / 1000), Decimals.seconds(millis));
        }
        assertEquals("0.005", Decimals.seconds(5));
        assertEquals("0.000", Decimals.seconds(0.4));
    }
}
