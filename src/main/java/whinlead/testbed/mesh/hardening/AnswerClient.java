package whinlead.testbed.mesh.hardening;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/** A client that sends one request over a connection of its own and hears its answer. One thread. */
final class AnswerClient {
    private static final String END = "\r\n\r\n";
    private static final String LENGTH = "content-length: ";
    private static final String SEAL = "server-seal: ";

    /** A whole answer; the seal is null where it has none. */
    record Answer(int status, String seal, String body) {}

    private final EmbeddedChannel channel;
    private final StringBuilder heard = new StringBuilder();

    /** Connects to what takes connections. */
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
                + "\r\nContent-Length: 2" + END + "hi";
        channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
    }

    /** Hears what has come since; the answer once it is whole, else null. */
    Answer hear() {
        channel.runPendingTasks();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            heard.append(b.toString(StandardCharsets.ISO_8859_1));
            b.release();
        }
        int end = heard.indexOf(END);
        if (end < 0) {
            return null;
        }
        String head = heard.substring(0, end);
        String length = header(head, LENGTH);
        String body = heard.substring(end + END.length());
        return body.length() < Integer.parseInt(length)
                ? null
                : new Answer(Integer.parseInt(head.split(" ")[1]), header(head, SEAL), body);
    }

    private static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name)) {
                return line.substring(name.length());
            }
        }
        return null;
    }

    /** Whether the connection stands. */
    boolean isOpen() {
        return channel.isActive();
    }

    /** The process at its other end has ended. */
    void cut() {
        channel.close();
    }
}
