package whinlead.testbed.mesh.hardening;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import whinlead.plan.Calendar;

/**
 * A faulty endpoint behind the real connections to it: it answers, rejects, resets, stays silent, truncates, garbles
 * and repeats earlier answers. Single-threaded, with driven time.
 */
final class RelayEndpoint {
    private static final String SEAL_LINE = "Server-Seal: s\r\n";
    private static final String HEAD_END = "\r\n\r\n";

    private final Calendar calendar;
    private final Executor io;
    private final SplittableRandom random;
    private final Consumer<String> started;
    private final Consumer<String> count;
    private final boolean ignoresIds;
    private final List<Connection> connections = new ArrayList<>();

    /**
     * Creates an endpoint.
     *
     * @param io runs tasks of the sidecar's process once that is not frozen
     * @param started gets the id of each request that the endpoint starts to work on
     * @param ignoresIds whether the sidecar takes each answer as the one to its last request: a planted fault
     */
    RelayEndpoint(
            Calendar calendar,
            Executor io,
            SplittableRandom random,
            Consumer<String> started,
            Consumer<String> count,
            boolean ignoresIds) {
        this.ignoresIds = ignoresIds;
        this.calendar = calendar;
        this.io = io;
        this.random = random;
        this.started = started;
        this.count = count;
    }

    /** Connects to the endpoint; the future completes once the connection is established or refused. */
    ChannelFuture connect(ChannelHandler handlers) {
        Connection connection = new Connection(new EmbeddedChannel(handlers));
        connections.add(connection);
        ChannelPromise dial = connection.channel.newPromise();
        boolean refused = random.nextInt(30) == 0;
        double wait = random.nextInt(12) == 0 ? 200 + random.nextInt(600) : random.nextInt(3);
        calendar.schedule(
                wait,
                () -> io.execute(() -> {
                    if (refused) {
                        count.accept("refused connects");
                        connection.channel.close();
                        dial.setFailure(new ConnectException("refused"));
                    } else {
                        dial.setSuccess();
                        connection.receive();
                    }
                }));
        return dial;
    }

    /** Reads what was written to the connections since the last call. */
    void receive() {
        connections.removeIf(Connection::ended);
        List.copyOf(connections).forEach(Connection::receive);
    }

    /** Resets all connections. */
    void reset() {
        List.copyOf(connections).forEach(c -> c.channel.close());
        connections.clear();
    }

    private final class Connection {
        private final EmbeddedChannel channel;
        private final StringBuilder received = new StringBuilder();
        private boolean busy;
        private boolean partlyWritten;
        private String currentId = "";
        /** The bytes of its last complete answer. */
        private String lastAnswer = "";

        private Connection(EmbeddedChannel channel) {
            this.channel = channel;
        }

        // Drops what was written to a connection that was closed before it was read.
        private boolean ended() {
            boolean ended = !channel.isActive();
            if (ended) {
                channel.releaseOutbound();
            }
            return ended;
        }

        private void receive() {
            for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
                received.append(b.toString(StandardCharsets.ISO_8859_1));
                b.release();
            }
            int end = received.indexOf(HEAD_END);
            if (!busy && end >= 0) {
                String head = received.substring(0, end);
                received.delete(0, end + HEAD_END.length());
                busy = true;
                serve(head.replaceFirst("(?s).*Attempt-Id: ([^\r]*).*", "$1"));
            }
        }

        private void serve(String id) {
            currentId = id;
            int behaviour = random.nextInt(40);
            double delayMs = 1 + random.nextInt(behaviour % 7 == 0 ? 1500 : 60);
            if (behaviour < 4) {
                writeAfter(delayMs, answer("503 Full", id, "", "Not-Executed: 1\r\n"), "turned away");
                return;
            }
            if (behaviour == 4) {
                writeAfter(delayMs, answer("421 Misdirected", id, "", ""), "misdirected");
                return;
            }
            if (behaviour == 5) {
                count.accept("resets before the run");
                calendar.schedule(delayMs, this::close);
                return;
            }
            started.accept(id);
            String whole = answer("200 OK", id, "of " + id, SEAL_LINE);
            switch (behaviour) {
                case 6 -> reset(delayMs);
                case 7 -> count.accept("silences");
                case 8 -> {
                    String part = whole.substring(0, random.nextInt(whole.length()));
                    calendar.schedule(delayMs, () -> {
                        // Nothing else may be written before the end: no framing could tell it from the answer's own
                        // bytes.
                        partlyWritten = true;
                        write(part);
                    });
                    count.accept("cut answers");
                    calendar.schedule(delayMs + random.nextInt(400), this::close);
                }
                case 9 -> writeAfter(delayMs, "ice cream" + HEAD_END, "no answers");
                case 10 -> writeAfter(delayMs, answer("200 OK", id, "of " + id, ""), "unsealed answers");
                case 11 -> writeAfter(delayMs, answer("503 Full", id, "", ""), "503 that may have run");
                case 12 -> writeAfter(delayMs, answer("500 Error", id, "of " + id, ""), "errors");
                case 13 -> writeAfter(delayMs, "HTTP/1.1 100 Continue" + HEAD_END + whole, "interim answers");
                case 14 -> writeAfter(delayMs, answer("200 OK", "", "whose", SEAL_LINE) + whole, "unnamed ones");
                case 15 ->
                    writeAfter(
                            delayMs,
                            answer("200 OK", id, "of " + id, SEAL_LINE + "Connection: close\r\n"),
                            "closing answers");
                default ->
                    writeAfter(
                            delayMs,
                            (random.nextInt(6) == 0 ? lastAnswer : "") + whole + (random.nextInt(6) == 0 ? whole : ""),
                            "answers");
            }
        }

        private void reset(double delayMs) {
            count.accept("resets after the run");
            calendar.schedule(delayMs, this::close);
        }

        private void close() {
            io.execute(channel::close);
        }

        private void writeAfter(double delayMs, String bytes, String what) {
            count.accept(what);
            int cut = random.nextInt(bytes.length() + 1);
            calendar.schedule(delayMs, () -> {
                partlyWritten = cut > 0;
                write(bytes.substring(0, cut));
            });
            calendar.schedule(delayMs + random.nextInt(20), () -> {
                // An earlier answer may arrive in place of the next one.
                if (random.nextInt(10) == 0 && !lastAnswer.isEmpty()) {
                    String late = lastAnswer;
                    count.accept("late surplus answers");
                    calendar.schedule(random.nextInt(40), () -> write(partlyWritten ? "" : late));
                }
                lastAnswer = bytes;
                busy = false;
                partlyWritten = false;
                write(bytes.substring(cut));
                receive();
            });
        }

        private void write(String text) {
            String bytes = ignoresIds ? text.replaceAll("Attempt-Id: [^\r]*", "Attempt-Id: " + currentId) : text;
            io.execute(() -> {
                if (channel.isActive()) {
                    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
                }
            });
        }
    }

    private static String answer(String status, String id, String body, String more) {
        return "HTTP/1.1 " + status + "\r\n" + (id.isEmpty() ? "" : "Attempt-Id: " + id + "\r\n") + more
                + "Content-Length: " + body.length() + HEAD_END + body;
    }
}
