package whinlead.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Responses as an endpoint sends them, by name: malformed ones, of which no reader may pass on or believe anything, and
 * odd ones that are valid. Each valid one has the status that its name begins with.
 */
public final class SampleResponses {
    /** Ends the names of responses behind which the server closes the connection. */
    public static final String CLOSE = "-close";

    private static final String CHUNKED = "Transfer-Encoding: chunked";

    private final Map<String, String> malformed = new LinkedHashMap<>();
    private final Map<String, String> valid = new LinkedHashMap<>();
    private final String fields;
    private final String body;
    private final String length;
    private final String chunkSize;
    private final String chunks;

    /**
     * Creates responses.
     *
     * @param fields lines that stand in each head, each with its line end
     * @param body what each response has as its body, in ASCII and of 5 to 999 bytes
     */
    public SampleResponses(String fields, String body) {
        this.fields = fields;
        this.body = body;
        this.length = "Content-Length: " + body.length();
        this.chunkSize = Integer.toHexString(body.length());
        this.chunks = chunkSize + "\r\n" + body + "\r\n0\r\n";
        addMalformedStatusLines();
        addMalformedFields();
        addMalformedFraming();
        addValid();
    }

    /** The malformed responses, by name. */
    public Map<String, String> malformed() {
        return malformed;
    }

    /** The valid responses, by name. */
    public Map<String, String> valid() {
        return valid;
    }

    /** The bytes of a response. */
    public static byte[] bytes(String response) {
        return response.getBytes(StandardCharsets.ISO_8859_1);
    }

    private void addMalformedStatusLines() {
        malformed.put("status-000", withStatus("000 Trouble"));
        malformed.put("status-0", withStatus("0 Trouble"));
        malformed.put("status-99", withStatus("99 Trouble"));
        malformed.put("status-099", withStatus("099 Trouble"));
        malformed.put("status-600", withStatus("600 Trouble"));
        malformed.put("status-999", withStatus("999 Trouble"));
        malformed.put("status-1000", withStatus("1000 Trouble"));
        malformed.put("status-0200", withStatus("0200 OK"));
        malformed.put("status-plus200", withStatus("+200 OK"));
        malformed.put("control-in-reason", withStatus("200 O\u0001K"));
        malformed.put("null-in-reason", withStatus("200 O\0K"));
        malformed.put("return-in-reason", withStatus("200 O\rK"));
        malformed.put("upgrade", upgradedTo("other"));
        malformed.put("upgrade-to-websocket", upgradedTo("websocket"));
        malformed.put("no-status", withStatus("OK"));
        malformed.put("version-2", withVersion("HTTP/2.0"));
        malformed.put("version-0", withVersion("HTTP/0.9"));
        malformed.put("version-in-lower-case", withVersion("http/1.1"));
        malformed.put("other-protocol", withVersion("ICY"));
    }

    private void addMalformedFields() {
        malformed.put("control-in-value", withField("X-Odd: v\u0001"));
        malformed.put("null-in-value", withField("X-Odd: v\0v"));
        malformed.put("return-in-value", withField("X-Odd: v\rv"));
        malformed.put("delete-in-value", withField("X-Odd: v\u007f"));
        malformed.put("control-before-value", withField("X-Odd: \u000bv"));
        malformed.put("control-behind-value", withField("X-Odd: v\u001c"));
        malformed.put("control-before-folded-value", withField("X-Odd: v\r\n \u0001v"));
        malformed.put("control-behind-folded-value", withField("X-Odd: v\r\n v\u001c"));
        malformed.put("line-feed-alone", withField("X-Odd: v\nX-Other: v"));
        malformed.put("blank-in-name", withField("X-Odd Name: v"));
        malformed.put("tab-in-name", withField("X-Odd\tName: v"));
        malformed.put("blank-before-colon", withField("X-Odd : v"));
        malformed.put("tab-before-colon", withField("X-Odd\t: v"));
        malformed.put("blank-before-first-name", withField(" X-Odd: v"));
        malformed.put("control-in-name", withField("X-Odd\u0001Name: v"));
        malformed.put("null-in-name", withField("X-Odd\0: v"));
        malformed.put("delete-in-name", withField("X-Odd\u007f: v"));
        malformed.put("control-before-name", withField("\u000bX-Odd: v"));
        malformed.put("name-beyond-ascii", withField("X-Odd\u00e9: v"));
        malformed.put("empty-name", withField(": v"));
        malformed.put("no-colon", withField("X-Odd"));
    }

    private void addMalformedFraming() {
        malformed.put("length-before-blank-and-word", withFraming("Content-Length x: 3", body));
        malformed.put("length-before-blank", withFraming("Content-Length : 3", body));
        malformed.put("coding-before-blank-and-word", withFraming("Transfer-Encoding x: chunked", chunks + "\r\n"));
        malformed.put("lengths-differ", withFraming("Content-Length: 3\r\n" + length, body));
        malformed.put("lengths-differ-1.0", response("HTTP/1.0 200 OK", "Content-Length: 3\r\n", length, body));
        malformed.put("coding-1.0", response("HTTP/1.0 200 OK", "", CHUNKED, chunks + "\r\n"));
        malformed.put("lengths-differ-in-list", withFraming(length + ", 3", body));
        malformed.put("length-signed", withFraming("Content-Length: +" + body.length(), body));
        malformed.put("length-negative", withFraming("Content-Length: -" + body.length(), body));
        malformed.put("length-no-number", withFraming("Content-Length: five", body));
        malformed.put("length-empty", withFraming("Content-Length:", body));
        malformed.put("length-beside-coding", withFraming(length + "\r\n" + CHUNKED, chunks + "\r\n"));
        malformed.put("coding-unknown", withFraming("Transfer-Encoding: gzip", body));
        malformed.put("coding-before-chunked", withFraming("Transfer-Encoding: gzip, chunked", chunks + "\r\n"));
        malformed.put("coding-twice", withFraming(CHUNKED + "\r\n" + CHUNKED, chunks + "\r\n"));
        malformed.put("chunk-size-no-number", withFraming(CHUNKED, "five\r\n" + body + "\r\n0\r\n\r\n"));
        malformed.put("chunk-size-with-blank", withFraming(CHUNKED, chunkSize + " 0\r\n" + body + "\r\n0\r\n\r\n"));
        malformed.put("chunk-longer-than-its-size", withFraming(CHUNKED, "3\r\n" + body + "\r\n0\r\n\r\n"));
        malformed.put("control-in-trailer-name", withFraming(CHUNKED, chunks + "X-Odd\u0001: v\r\n\r\n"));
        malformed.put("blank-in-trailer-name", withFraming(CHUNKED, chunks + "X-Odd Name: v\r\n\r\n"));
    }

    private void addValid() {
        valid.put("299", withStatus("299 Odd"));
        valid.put("200-after-100", "HTTP/1.1 100 Continue\r\n\r\n" + withStatus("200 OK"));
        valid.put("200-after-103", "HTTP/1.1 103 Early Hints\r\nX-Odd: v\r\n\r\n" + withStatus("200 OK"));
        valid.put("404", withStatus("404"));
        valid.put("599", withStatus("599 Odd"));
        valid.put("200-empty-reason", withStatus("200 "));
        valid.put("200-blanks-in-status-line", response("HTTP/1.1  200 \t OK", "", length, body));
        valid.put("200-after-an-empty-line", "\r\n" + withStatus("200 OK"));
        valid.put("200-odd-name", withField("x-oDD!#$%&'*+-.^_`|~0:v"));
        valid.put("200-blanks-round-value", withField("X-Odd: \t v\tv \t"));
        valid.put("200-value-beyond-ascii", withField("X-Odd: \u00e9"));
        valid.put("200-empty-value", withField("X-Odd:"));
        valid.put("200-version-1.0", withVersion("HTTP/1.0"));
        valid.put("200-no-length" + CLOSE, withFraming("X-Odd: v", body));
        valid.put("200-chunked-in-capitals", withFraming("Transfer-Encoding: CHUNKED", chunks + "\r\n"));
        valid.put("200-folded", withField("X-Odd: v\r\n  w"));
        valid.put("200-trailer", withFraming(CHUNKED, chunks + "X-Odd: v\r\n\r\n"));
    }

    private String withStatus(String statusAndReason) {
        return response("HTTP/1.1 " + statusAndReason, "", length, body);
    }

    // With a valid response in the new protocol behind it.
    private String upgradedTo(String protocol) {
        return "HTTP/1.1 101 Switching Protocols\r\n" + fields + "Connection: upgrade\r\nUpgrade: " + protocol
                + "\r\n\r\n" + withStatus("200 OK");
    }

    private String withVersion(String version) {
        return response(version + " 200 OK", "", length, body);
    }

    private String withField(String field) {
        return response("HTTP/1.1 200 OK", field + "\r\n", length, body);
    }

    private String withFraming(String field, String bodyAsSent) {
        return response("HTTP/1.1 200 OK", "", field, bodyAsSent);
    }

    private String response(String statusLine, String firstFields, String framing, String bodyAsSent) {
        return statusLine + "\r\n" + firstFields + fields + framing + "\r\n\r\n" + bodyAsSent;
    }
}
