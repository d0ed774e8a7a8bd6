package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import whinlead.front.spop.SpopFrame;

/**
 * Simulates HAProxy with {@code deploy/examples/haproxy.cfg} and {@code whinlead.spoe.conf}, according to its public
 * {@code doc/SPOE.txt} (2.5 configuration, 3.2 frames, 3.4 actions) and configuration manual. The arguments of both
 * messages are read from the file; the rules of the frontend are reimplemented here.
 */
final class SpoeProxy extends ExampleProxy {
    private static final Pattern ARGUMENT = Pattern.compile("(\\w+)=([\\w.]+)(?:\\(([^)]*)\\))?");
    private static final int IPV4 = 6;
    private static final int TYPE_MASK = 0x0f;
    private static final int UNAVAILABLE = 503;

    private final String config;
    private final Socket agent;
    private final DataInputStream input;
    private long lastStreamId;

    /** Uses the agent at this loopback port. */
    SpoeProxy(int port) throws Exception {
        config = Files.readString(Path.of("deploy/examples/whinlead.spoe.conf"));
        agent = new Socket(InetAddress.getLoopbackAddress(), port);
        agent.setSoTimeout(FakeServer.TIMEOUT_S * 1000);
        input = new DataInputStream(agent.getInputStream());
        ByteBuf hello = SpopFrame.begin(Unpooled.buffer(), SpopFrame.Type.HAPROXY_HELLO, 0, 0);
        SpopFrame.pair(hello, "supported-versions", "2.0");
        SpopFrame.pair(hello, "max-frame-size", 16_380);
        SpopFrame.pair(hello, "capabilities", "pipelining,async");
        assertEquals(SpopFrame.Type.AGENT_HELLO, exchange(SpopFrame.end(hello)).type());
    }

    @Override
    Answer handle(String id, String type) throws Exception {
        Map<String, String> samples = new HashMap<>();
        samples.put("req.hdr(Request-Id)", id);
        samples.put("req.hdr(Request-Class)", type);
        samples.put("req.hdr(Request-Timeout)", "2.000");
        samples.put("var(txn.id)", id);
        sendMessage("ask", samples);
        Answer denied = deniedAnswer(samples);
        if (denied != null) {
            return denied;
        }
        Hop hop =
                sendOnce(samples.get(variable("ip")), Integer.parseInt(samples.get(variable("port"))), id, UNAVAILABLE);
        samples.put("status", Integer.toString(hop.status()));
        samples.put("res.hdr(Consult-Connect-Time)", hop.timeHeader(hop.connected(), "-1"));
        samples.put("res.hdr(Consult-Header-Time)", hop.timeHeader(hop.answered(), "-1"));
        hop.headers().forEach((name, value) -> samples.put("res.hdr(" + name + ")", value));
        if (samples.containsKey(variable("attempt"))) {
            sendMessage("outcome", samples);
        }
        return "refuse".equals(samples.get(variable("do")))
                ? refusedAnswer(samples)
                : new Answer(hop.status(), hop.headers());
    }

    // Applies the http-request rules of the frontend in their order.
    private static Answer deniedAnswer(Map<String, String> samples) {
        return switch (samples.getOrDefault(variable("do"), "")) {
            case "send" -> null;
            case "refuse" -> refusedAnswer(samples);
            case "too_many" -> new Answer(429, Map.of());
            case "bad" -> new Answer(400, Map.of());
            default -> new Answer(502, Map.of());
        };
    }

    private static Answer refusedAnswer(Map<String, String> samples) {
        String retryAfter = samples.get(variable("retry_after"));
        return new Answer(UNAVAILABLE, retryAfter == null ? Map.of() : Map.of("Retry-After", retryAfter));
    }

    private static String variable(String name) {
        return "var(txn.whinlead." + name + ")";
    }

    private void sendMessage(String name, Map<String, String> samples) throws Exception {
        int messageStart = config.indexOf("spoe-message " + name + "\n");
        assertTrue(messageStart >= 0, "the example lacks message " + name);
        int argsStart = config.indexOf("args ", messageStart);
        Matcher args = ARGUMENT.matcher(config.substring(argsStart, config.indexOf('\n', argsStart)));
        Map<String, String> arguments = new LinkedHashMap<>();
        while (args.find()) {
            String sample = args.group(3) == null ? args.group(2) : args.group(2) + "(" + args.group(3) + ")";
            if (samples.containsKey(sample)) {
                arguments.put(args.group(1), samples.get(sample));
            }
        }
        ByteBuf frame = SpopFrame.begin(Unpooled.buffer(), SpopFrame.Type.NOTIFY, ++lastStreamId, 1);
        SpopFrame.string(frame, name);
        frame.writeByte(arguments.size());
        arguments.forEach((key, value) -> SpopFrame.pair(frame, key, value));
        SpopFrame answer = exchange(SpopFrame.end(frame));
        assertEquals(SpopFrame.Type.ACK, answer.type());
        assertEquals(lastStreamId, answer.stream());
        applyActions(answer.payload(), samples);
    }

    private static void applyActions(ByteBuf payload, Map<String, String> samples) throws SpopFrame.Invalid {
        while (payload.isReadable()) {
            assertEquals(1, payload.readByte(), "ACTION-SET-VAR");
            assertEquals(3, payload.readByte(), "number of arguments");
            assertEquals(2, payload.readByte(), "transaction scope");
            String name = variable(SpopFrame.string(payload));
            if ((payload.getByte(payload.readerIndex()) & TYPE_MASK) == IPV4) {
                byte[] ip = new byte[4];
                payload.skipBytes(1).readBytes(ip);
                samples.put(name, (ip[0] & 0xff) + "." + (ip[1] & 0xff) + "." + (ip[2] & 0xff) + "." + (ip[3] & 0xff));
            } else {
                samples.put(name, SpopFrame.value(payload));
            }
        }
    }

    private SpopFrame exchange(ByteBuf frame) throws IOException, SpopFrame.Invalid {
        frame.readBytes(agent.getOutputStream(), frame.readableBytes());
        return SpopFrame.read(Unpooled.wrappedBuffer(input.readNBytes(input.readInt())));
    }

    @Override
    public void close() throws IOException {
        agent.close();
    }
}
