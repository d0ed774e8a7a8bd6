package whinlead.testbed.mesh.hardening;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/** A client that sends one request over its own connection and receives the answer. Single-threaded. */
final class AnswerClient {
    private static final String HEAD_END = "\r\n\r\n";
    private static final String LENGTH_HEADER = "content-length: ";
    private static final String SEAL_HEADER = "server-seal: ";

    /** A complete answer; the seal is null if there is none. */
    record Answer(int status, String seal, String body) {}

    private final EmbeddedChannel channel;
    private final StringBuilder received = new StringBuilder();

    /** Connects to the given server. */
    AnswerClient(Consumer<Channel> server) {
        channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel connection) {
                server.accept(connection);
            }
        });
    }

    /** Sends a request. */
    void send(String path, String id, int deadlineMs) {
        String request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadlineMs
                + "\r\nContent-Length: 2" + HEAD_END + "hi";
        channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
    }

    /** Reads what has arrived; returns the answer once it is complete, else null. */
    Answer receive() {
        channel.runPendingTasks();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            received.append(b.toString(StandardCharsets.ISO_8859_1));
            b.release();
        }
        int end = received.indexOf(HEAD_END);
        if (end < 0) {
            return null;
        }
        String head = received.substring(0, end);
        String length = header(head, LENGTH_HEADER);
        String body = received.substring(end + HEAD_END.length());
        return body.length() < Integer.parseInt(length)
                ? null
                : new Answer(Integer.parseInt(head.split(" ")[1]), header(head, SEAL_HEADER), body);
    }

    private static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name)) {
                return line.substring(name.length());
            }
        }
        return null;
    }

    /** Whether the connection is open. */
    boolean isOpen() {
        return channel.isActive();
    }

    /** Closes the connection, as when the process at the other end exits. */
    void close() {
        channel.close();
    }
}
