package whinlead.front.http1;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import whinlead.Contract;
import whinlead.engine.Request;
import whinlead.http.Decimals;
import whinlead.http.HttpCall;

/**
 * Checks the head of a client's request, before its body is read. What it lets through is made anew from the checked
 * fields alone, so that nothing else of a client's reaches the module or an endpoint.
 */
final class RequestCheck {
    /**
     * A request that may go on.
     *
     * @param headers what an endpoint is told, but for the time and the length
     */
    record Checked(String id, Request ask, HttpMethod method, String uri, HttpHeaders headers) {}

    /** The answer that a bad request gets. */
    static final class Rejected extends Exception {
        private static final long serialVersionUID = 1;
        private final transient HttpResponseStatus status;

        private Rejected(HttpResponseStatus status) {
            super(status.toString(), null, false, false);
            this.status = status;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    private static final String API_PATH = "/api";
    private static final AsciiString ID = AsciiString.cached("Request-Id");
    private static final AsciiString CLASS = AsciiString.cached("Request-Class");
    private static final AsciiString TENANT = AsciiString.cached("Tenant");
    private static final AsciiString KEY = AsciiString.cached("Idempotency-Key");
    private static final AsciiString REPEAT = AsciiString.cached("Client-Retry");
    private static final List<CharSequence> ONCE = List.of(
            ID,
            CLASS,
            HttpCall.TIMEOUT,
            KEY,
            TENANT,
            REPEAT,
            HttpHeaderNames.HOST,
            HttpHeaderNames.CONTENT_LENGTH,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.CONTENT_TYPE);
    /** Longer names than any client has; they are kept and passed on. */
    private static final int MAX_NAME = 256;
    /** An hour: no client waits longer, and timers far out would only pile up. */
    private static final double MAX_TIMEOUT_S = 3600;

    private static final double MILLIS = 1000;

    private final List<Contract.RequestClass> classes;
    private final Map<String, Integer> classIndex = new HashMap<>();
    private final Map<String, Integer> tenantIndex = new HashMap<>();

    /** A check by the classes and tenants of these settings. */
    RequestCheck(Contract.Settings settings) {
        this.classes = settings.classes();
        for (int i = 0; i < classes.size(); i++) {
            classIndex.put(classes.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantIndex.put(settings.tenants().get(i).name(), i);
        }
    }

    /** The path of a request, without its query. */
    static String path(HttpRequest request) {
        int query = request.uri().indexOf('?');
        return query < 0 ? request.uri() : request.uri().substring(0, query);
    }

    /** Guards against a request whose end another reader could see elsewhere, hiding a second one in its body. */
    static void framing(HttpRequest request) throws Rejected {
        HttpHeaders headers = request.headers();
        for (CharSequence name : ONCE) {
            Iterator<?> values = headers.valueCharSequenceIterator(name);
            require(!values.hasNext() || values.next() == null || !values.hasNext());
        }
        String encoding = headers.get(HttpHeaderNames.TRANSFER_ENCODING);
        require(encoding == null
                || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encoding)
                        && request.protocolVersion().minorVersion() > 0);
        require(request.protocolVersion().majorVersion() == 1 && visible(request.uri(), Integer.MAX_VALUE));
        if (HttpUtil.getContentLength(request, 0L) > HttpCall.MAX_BODY_BYTES) {
            throw new Rejected(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
    }

    /** The request, if its path is the application's and all that it says of itself is right. */
    Checked application(HttpRequest request) throws Rejected {
        if (!path(request).equals(API_PATH)) {
            throw new Rejected(HttpResponseStatus.NOT_FOUND);
        }
        HttpHeaders headers = request.headers();
        String id = headers.get(ID, "");
        Integer k = classIndex.get(headers.get(CLASS, ""));
        require(k != null && visible(id, MAX_NAME));
        Contract.RequestClass type = classes.get(k);
        HttpMethod method = type.effect() == Contract.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!request.method().equals(method)) {
            throw new Rejected(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        String key = headers.get(KEY);
        require(key == null ? type.effect() != Contract.Effect.KEYED : visible(key, MAX_NAME));
        String timeout = headers.get(HttpCall.TIMEOUT);
        double wait = timeout == null ? type.deadline() : Decimals.parse(timeout, MAX_TIMEOUT_S) * MILLIS;
        require(wait > 0);
        Request ask = new Request(
                k, tenantIndex.getOrDefault(headers.get(TENANT, ""), -1), wait, "1".equals(headers.get(REPEAT)));
        return new Checked(id, ask, method, request.uri(), onward(headers, id, key));
    }

    private static HttpHeaders onward(HttpHeaders from, String id, String key) {
        HttpHeaders headers = new DefaultHttpHeaders();
        // An endpoint wants one; a client of the older HTTP may have none.
        headers.set(HttpHeaderNames.HOST, from.get(HttpHeaderNames.HOST, ""));
        headers.set(ID, id);
        headers.set(CLASS, from.get(CLASS));
        if (key != null) {
            headers.set(KEY, key);
        }
        String type = from.get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        return headers;
    }

    // ASCII without blanks and control characters, which endpoints might read differently.
    private static boolean visible(String text, int most) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= 0x7f) {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= most;
    }

    private static void require(boolean good) throws Rejected {
        if (!good) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST);
        }
    }
}
