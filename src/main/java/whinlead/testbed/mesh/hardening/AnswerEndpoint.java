package whinlead.testbed.mesh.hardening;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import whinlead.plan.Calendar;

/**
 * An endpoint behind the real connections to it that answers in every way that the user documentation names: complete
 * with a length, in chunks or up to the end of the connection; with its own failures; truncated, reset, garbled,
 * unsealed, content-encoded, or not at all. Single-threaded, with driven time.
 */
final class AnswerEndpoint {
    private static final String HEAD_END = "\r\n\r\n";
    private static final int BEHAVIOURS = 16;

    /** Observes an endpoint's work. */
    interface Observer {
        /** The endpoint begins to work on a request. */
        void started(String id);

        /** The endpoint has sent this status with its seal; the connection is intact so far. */
        void answeredWithStatus(String id, int status);

        /** The endpoint no longer works on the request: it has answered or stopped early. */
        void stopped(String id);

        /** The endpoint has sent a complete success. */
        void answeredWhole(String id);
    }

    private final Calendar calendar;
    private final SplittableRandom random;
    private final Observer observer;
    private final boolean hidesResets;
    private final List<Connection> connections = new ArrayList<>();

    /**
     * Creates an endpoint.
     *
     * @param hidesResets whether a reset is reported as an orderly close
     */
    AnswerEndpoint(Calendar calendar, SplittableRandom random, Observer observer, boolean hidesResets) {
        this.calendar = calendar;
        this.random = random;
        this.observer = observer;
        this.hidesResets = hidesResets;
    }

    /** The seal of an answer: the request's id and the status of the answer. */
    static String seal(String id, int status) {
        return id + "/" + status;
    }

    /** The body of a success. */
    static String body(String id) {
        return "the bytes of " + id;
    }

    /** Connects to the endpoint; the connection is established immediately. */
    ChannelFuture connect(ChannelHandler handlers) {
        Connection connection = new Connection(new EmbeddedChannel(handlers));
        connections.add(connection);
        return connection.channel.newSucceededFuture();
    }

    /** Reads what was written to the connections since the last call. */
    void receive() {
        connections.removeIf(c -> !c.channel.isActive());
        List.copyOf(connections).forEach(Connection::receive);
    }

    private final class Connection {
        private final EmbeddedChannel channel;
        private final StringBuilder received = new StringBuilder();

        private Connection(EmbeddedChannel channel) {
            this.channel = channel;
        }

        private void receive() {
            for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
                received.append(b.toString(StandardCharsets.ISO_8859_1));
                b.release();
            }
            int end = received.indexOf(HEAD_END);
            if (end >= 0) {
                String head = received.substring(0, end);
                received.delete(0, end + HEAD_END.length());
                serve(head.replaceFirst("(?s).*Attempt-Id: ([^\r]*).*", "$1"));
            }
        }

        private void serve(String id) {
            int behaviour = random.nextInt(BEHAVIOURS);
            double delayMs = 1 + random.nextInt(behaviour % 3 == 0 ? 2500 : 200);
            if (behaviour == 0) {
                write(
                        delayMs,
                        id,
                        head(
                                "503 Full",
                                id,
                                "Not-Executed: 1\r\nServer-Seal: " + seal(id, 503) + "\r\nContent-Length: 0\r\n"));
                return;
            }
            observer.started(id);
            String sealed = "Server-Seal: " + seal(id, 200) + "\r\n";
            String body = body(id);
            String length = "Content-Length: " + body.length() + "\r\n";
            switch (behaviour) {
                case 1 -> failure(delayMs, id, 500, "Error");
                case 2 -> failure(delayMs, id, 404, "Not Found");
                case 3 -> failure(delayMs, id, 503, "Busy");
                case 4 -> write(delayMs, id, head("200 OK", id, length) + body);
                case 5 -> write(delayMs, id, head("200 OK", id, sealed + "Content-Encoding: gzip\r\n" + length) + body);
                case 6 -> writeTruncated(delayMs, id, head("200 OK", id, sealed + length) + body);
                case 7, 8 -> withoutLength(delayMs, id, head("200 OK", id, sealed), body, behaviour == 7);
                case 9 ->
                    success(
                            delayMs,
                            id,
                            head("200 OK", id, sealed + "Transfer-Encoding: chunked\r\n")
                                    + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0" + HEAD_END);
                case 10 ->
                    write(
                            delayMs,
                            id,
                            head("200 OK", id, sealed + "Transfer-Encoding: gzip, chunked\r\n")
                                    + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0" + HEAD_END);
                case 11 -> write(delayMs, id, "ice cream" + HEAD_END);
                case 12 -> {}
                default -> success(delayMs, id, head("200 OK", id, sealed + length) + body);
            }
        }

        private static String head(String status, String id, String headers) {
            return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\n" + headers + "\r\n";
        }

        private void failure(double delayMs, String id, int status, String reason) {
            calendar.schedule(delayMs, () -> observer.answeredWithStatus(id, status));
            write(
                    delayMs,
                    id,
                    head(status + " " + reason, id, "Server-Seal: " + seal(id, status) + "\r\nContent-Length: 2\r\n")
                            + "no");
        }

        private void success(double delayMs, String id, String bytes) {
            calendar.schedule(delayMs, () -> observer.answeredWhole(id));
            write(delayMs, id, bytes);
        }

        private void writeTruncated(double delayMs, String id, String bytes) {
            write(delayMs, id, bytes.substring(0, random.nextInt(bytes.length())));
            calendar.schedule(delayMs + 1, this::reset);
        }

        private void withoutLength(double delayMs, String id, String head, String body, boolean whole) {
            if (whole) {
                calendar.schedule(delayMs, () -> observer.answeredWhole(id));
            }
            write(delayMs, id, head + (whole ? body : body.substring(0, random.nextInt(body.length()))));
            calendar.schedule(delayMs + 1, whole ? channel::close : this::reset);
        }

        private void reset() {
            if (channel.isActive() && !hidesResets) {
                channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
            }
            channel.close();
        }

        private void write(double delayMs, String id, String bytes) {
            calendar.schedule(delayMs, () -> {
                observer.stopped(id);
                if (channel.isActive()) {
                    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
                }
            });
        }
    }
}
