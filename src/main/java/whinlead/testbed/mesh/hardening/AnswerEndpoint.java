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
 * An endpoint that answers in every way that the users' pages name, at the other end of the real connections to it:
 * whole with a length, in chunks or up to the end of its connection; with failures of its own; cut off, reset, garbled,
 * unsealed, coded, or not at all. One thread; driven time.
 */
final class AnswerEndpoint {
    private static final String END = "\r\n\r\n";
    private static final int HOW = 16;

    /** Hears of an endpoint's work. */
    interface Observer {
        /** It begins to work on a request. */
        void ran(String id);

        /** It has given this status with its seal, and its connection is sound so far. */
        void said(String id, int status);

        /** It works on it no more: it has answered, or has broken off. */
        void ended(String id);

        /** It has given a success whole. */
        void whole(String id);
    }

    private final Calendar calendar;
    private final SplittableRandom random;
    private final Observer observer;
    private final boolean hidesResets;
    private final List<Connection> connections = new ArrayList<>();

    /**
     * An endpoint.
     *
     * @param hidesResets whether a reset is told as an orderly close
     */
    AnswerEndpoint(Calendar calendar, SplittableRandom random, Observer observer, boolean hidesResets) {
        this.calendar = calendar;
        this.random = random;
        this.observer = observer;
        this.hidesResets = hidesResets;
    }

    /** The seal under an answer: whose it is, and the status that it was given with. */
    static String seal(String id, int status) {
        return id + "/" + status;
    }

    /** The body of a success. */
    static String body(String id) {
        return "the bytes of " + id;
    }

    /** A connection to it, which is made at once. */
    ChannelFuture connect(ChannelHandler handlers) {
        Connection made = new Connection(new EmbeddedChannel(handlers));
        connections.add(made);
        return made.channel.newSucceededFuture();
    }

    /** Time passes: hears what was written since. */
    void hear() {
        connections.removeIf(c -> !c.channel.isActive());
        List.copyOf(connections).forEach(Connection::hear);
    }

    private final class Connection {
        private final EmbeddedChannel channel;
        private final StringBuilder in = new StringBuilder();

        private Connection(EmbeddedChannel channel) {
            this.channel = channel;
        }

        private void hear() {
            for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
                in.append(b.toString(StandardCharsets.ISO_8859_1));
                b.release();
            }
            int end = in.indexOf(END);
            if (end >= 0) {
                String head = in.substring(0, end);
                in.delete(0, end + END.length());
                serve(head.replaceFirst("(?s).*Attempt-Id: ([^\r]*).*", "$1"));
            }
        }

        private void serve(String id) {
            int how = random.nextInt(HOW);
            double took = 1 + random.nextInt(how % 3 == 0 ? 2500 : 200);
            if (how == 0) {
                write(
                        took,
                        id,
                        head(
                                "503 Full",
                                id,
                                "Not-Executed: 1\r\nServer-Seal: " + seal(id, 503) + "\r\nContent-Length: 0\r\n"));
                return;
            }
            observer.ran(id);
            String sealed = "Server-Seal: " + seal(id, 200) + "\r\n";
            String body = body(id);
            String length = "Content-Length: " + body.length() + "\r\n";
            switch (how) {
                case 1 -> failure(took, id, 500, "Error");
                case 2 -> failure(took, id, 404, "Not Found");
                case 3 -> failure(took, id, 503, "Busy");
                case 4 -> write(took, id, head("200 OK", id, length) + body);
                case 5 -> write(took, id, head("200 OK", id, sealed + "Content-Encoding: gzip\r\n" + length) + body);
                case 6 -> cut(took, id, head("200 OK", id, sealed + length) + body);
                case 7, 8 -> withoutLength(took, id, head("200 OK", id, sealed), body, how == 7);
                case 9 ->
                    success(
                            took,
                            id,
                            head("200 OK", id, sealed + "Transfer-Encoding: chunked\r\n")
                                    + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0" + END);
                case 10 ->
                    write(
                            took,
                            id,
                            head("200 OK", id, sealed + "Transfer-Encoding: gzip, chunked\r\n")
                                    + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0" + END);
                case 11 -> write(took, id, "ice cream" + END);
                case 12 -> {}
                default -> success(took, id, head("200 OK", id, sealed + length) + body);
            }
        }

        private static String head(String status, String id, String headers) {
            return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\n" + headers + "\r\n";
        }

        private void failure(double took, String id, int status, String reason) {
            calendar.after(took, () -> observer.said(id, status));
            write(
                    took,
                    id,
                    head(status + " " + reason, id, "Server-Seal: " + seal(id, status) + "\r\nContent-Length: 2\r\n")
                            + "no");
        }

        private void success(double took, String id, String bytes) {
            calendar.after(took, () -> observer.whole(id));
            write(took, id, bytes);
        }

        private void cut(double took, String id, String bytes) {
            write(took, id, bytes.substring(0, random.nextInt(bytes.length())));
            calendar.after(took + 1, this::reset);
        }

        private void withoutLength(double took, String id, String head, String body, boolean whole) {
            if (whole) {
                calendar.after(took, () -> observer.whole(id));
            }
            write(took, id, head + (whole ? body : body.substring(0, random.nextInt(body.length()))));
            calendar.after(took + 1, whole ? channel::close : this::reset);
        }

        private void reset() {
            if (channel.isActive() && !hidesResets) {
                channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
            }
            channel.close();
        }

        private void write(double took, String id, String bytes) {
            calendar.after(took, () -> {
                observer.ended(id);
                if (channel.isActive()) {
                    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
                }
            });
        }
    }
}
