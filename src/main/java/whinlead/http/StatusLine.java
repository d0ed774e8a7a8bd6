package whinlead.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Checks the parts of a status line, of which Netty's decoder accepts more than HTTP/1 allows. Thread-safe. */
final class StatusLine {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int DELETE = 0x7f;

    private StatusLine() {}

    /**
     * Checks the version.
     *
     * @throws IllegalArgumentException if it is not one of HTTP/1
     */
    static void requireVersion(String version) {
        boolean valid = version.length() == VERSION_PREFIX.length() + 1
                && version.startsWith(VERSION_PREFIX)
                && isDigit(version.charAt(VERSION_PREFIX.length()));
        if (!valid) {
            throw new IllegalArgumentException("not a version of HTTP/1: " + version);
        }
    }

    /**
     * Checks the status, for which Netty accepts any number from 0, also with a sign or with leading zeros.
     *
     * @throws IllegalArgumentException if it is not valid, or is a 101, which no request of this program asks for
     */
    static void requireStatus(String text) {
        int status = isNumberOfThreeDigits(text) ? Integer.parseInt(text) : 0;
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new IllegalArgumentException("not a status of three digits from 100 to 599: " + text);
        }
        if (status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            throw new IllegalArgumentException("a switch of protocols that no request asked for");
        }
    }

    /**
     * Checks the reason phrase.
     *
     * @throws IllegalArgumentException if it has a control character
     */
    static void requireReason(String reason) {
        for (int i = 0; i < reason.length(); i++) {
            if (isControl(reason.charAt(i))) {
                throw new IllegalArgumentException("a control character in the reason phrase");
            }
        }
    }

    /** Whether a character of a head is a control character other than the tab. */
    static boolean isControl(int character) {
        return character < ' ' && character != '\t' || character == DELETE;
    }

    private static boolean isNumberOfThreeDigits(String text) {
        return text.length() == STATUS_DIGITS
                && isDigit(text.charAt(0))
                && isDigit(text.charAt(1))
                && isDigit(text.charAt(2));
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }
}
