package whinlead.http;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.AsciiString;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Decodes responses, and rejects the malformed ones that Netty's decoder accepts. After a malformed response, whose
 * first invalid message has a failed {@link DecoderResult}, it ignores all further bytes of the connection.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private final Queue<HttpMethod> unansweredMethods = new ArrayDeque<>();

    StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Records that a request was sent, whose method tells whether its response has a body. */
    void requestSent(HttpMethod method) {
        unansweredMethods.add(method);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        requireVersion(statusLine[0]);
        requireStatus(statusLine[1]);
        return super.createMessage(statusLine);
    }

    private static void requireVersion(String version) {
        boolean valid = version.length() == VERSION_PREFIX.length() + 1
                && version.startsWith(VERSION_PREFIX)
                && isDigit(version.charAt(VERSION_PREFIX.length()));
        if (!valid) {
            throw new IllegalArgumentException("not a version of HTTP/1: " + version);
        }
    }

    // Netty accepts any number from 0, also with a sign or with leading zeros.
    private static void requireStatus(String status) {
        boolean valid = status.length() == STATUS_DIGITS && status.chars().allMatch(c -> isDigit((char) c));
        if (!valid || Integer.parseInt(status) < MIN_STATUS || Integer.parseInt(status) > MAX_STATUS) {
            throw new IllegalArgumentException("not a status of three digits from 100 to 599: " + status);
        }
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    // Netty ends a name at its first blank: it would read "Content-Length x: 3" as a length.
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        if (end >= line.length || line[end] != ':') {
            throw new IllegalArgumentException("a field name is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        HttpStatusClass statusClass = ((HttpResponse) message).status().codeClass();
        if (statusClass == HttpStatusClass.INFORMATIONAL) {
            return super.isContentAlwaysEmpty(message);
        }
        HttpMethod method = unansweredMethods.poll();
        boolean bodiless = HttpMethod.HEAD.equals(method)
                || HttpMethod.CONNECT.equals(method) && statusClass == HttpStatusClass.SUCCESS;
        return bodiless || super.isContentAlwaysEmpty(message);
    }
}
