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
 * An endpoint in trouble, at the other end of the real connections to it: it answers, turns away, resets, is silent,
 * cuts off, spoils, and says once more what it has said before. One thread; driven time.
 */
final class RelayEndpoint {
    private static final String SEAL = "Server-Seal: s\r\n";
    private static final String END = "\r\n\r\n";

    private final Calendar calendar;
    private final Executor io;
    private final SplittableRandom random;
    private final Consumer<String> ran;
    private final Consumer<String> count;
    private final boolean ignoresIds;
    private final List<Connection> connections = new ArrayList<>();

    /**
     * An endpoint.
     *
     * @param io runs what reaches the process beside it, once that runs
     * @param ran is told the id of each request that it begins to work on
     * @param ignoresIds whether the process beside it is to take all for the answer to its last request
     */
    RelayEndpoint(
            Calendar calendar,
            Executor io,
            SplittableRandom random,
            Consumer<String> ran,
            Consumer<String> count,
            boolean ignoresIds) {
        this.ignoresIds = ignoresIds;
        this.calendar = calendar;
        this.io = io;
        this.random = random;
        this.ran = ran;
        this.count = count;
    }

    /** A connection to it, once that is made. */
    ChannelFuture connect(ChannelHandler handlers) {
        Connection made = new Connection(new EmbeddedChannel(handlers));
        connections.add(made);
        ChannelPromise dial = made.channel.newPromise();
        boolean refused = random.nextInt(30) == 0;
        double wait = random.nextInt(12) == 0 ? 200 + random.nextInt(600) : random.nextInt(3);
        calendar.after(
                wait,
                () -> io.execute(() -> {
                    if (refused) {
                        count.accept("refused connects");
                        made.channel.close();
                        dial.setFailure(new ConnectException("refused"));
                    } else {
                        dial.setSuccess();
                        made.hear();
                    }
                }));
        return dial;
    }

    /** Time passes: hears what was written since. */
    void hear() {
        connections.removeIf(Connection::ended);
        List.copyOf(connections).forEach(Connection::hear);
    }

    /** Resets all connections. */
    void reset() {
        List.copyOf(connections).forEach(c -> c.channel.close());
        connections.clear();
    }

    private final class Connection {
        private final EmbeddedChannel channel;
        private final StringBuilder in = new StringBuilder();
        private boolean busy;
        private boolean midway;
        private String asked = "";
        /** What it said last, whole. */
        private String said = "";

        private Connection(EmbeddedChannel channel) {
            this.channel = channel;
        }

        // What was written to one that was closed before it was heard is dropped.
        private boolean ended() {
            boolean ended = !channel.isActive();
            if (ended) {
                channel.releaseOutbound();
            }
            return ended;
        }

        private void hear() {
            for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
                in.append(b.toString(StandardCharsets.ISO_8859_1));
                b.release();
            }
            int end = in.indexOf(END);
            if (!busy && end >= 0) {
                String head = in.substring(0, end);
                in.delete(0, end + END.length());
                busy = true;
                serve(head.replaceFirst("(?s).*Attempt-Id: ([^\r]*).*", "$1"));
            }
        }

        private void serve(String id) {
            asked = id;
            int how = random.nextInt(40);
            double took = 1 + random.nextInt(how % 7 == 0 ? 1500 : 60);
            if (how < 4) {
                after(took, answer("503 Full", id, "", "Not-Executed: 1\r\n"), "turned away");
                return;
            }
            if (how == 4) {
                after(took, answer("421 Misdirected", id, "", ""), "misdirected");
                return;
            }
            if (how == 5) {
                count.accept("resets before the run");
                calendar.after(took, this::close);
                return;
            }
            ran.accept(id);
            String whole = answer("200 OK", id, "of " + id, SEAL);
            switch (how) {
                case 6 -> reset(took);
                case 7 -> count.accept("silences");
                case 8 -> {
                    String part = whole.substring(0, random.nextInt(whole.length()));
                    calendar.after(took, () -> {
                        // Nothing else comes before its end: no framing could tell that from its own bytes.
                        midway = true;
                        write(part);
                    });
                    count.accept("cut answers");
                    calendar.after(took + random.nextInt(400), this::close);
                }
                case 9 -> after(took, "ice cream" + END, "no answers");
                case 10 -> after(took, answer("200 OK", id, "of " + id, ""), "unsealed answers");
                case 11 -> after(took, answer("503 Full", id, "", ""), "503 that may have run");
                case 12 -> after(took, answer("500 Error", id, "of " + id, ""), "errors");
                case 13 -> after(took, "HTTP/1.1 100 Continue" + END + whole, "interim answers");
                case 14 -> after(took, answer("200 OK", "", "whose", SEAL) + whole, "unnamed ones");
                case 15 ->
                    after(took, answer("200 OK", id, "of " + id, SEAL + "Connection: close\r\n"), "closing answers");
                default ->
                    after(
                            took,
                            (random.nextInt(6) == 0 ? said : "") + whole + (random.nextInt(6) == 0 ? whole : ""),
                            "answers");
            }
        }

        private void reset(double took) {
            count.accept("resets after the run");
            calendar.after(took, this::close);
        }

        private void close() {
            io.execute(channel::close);
        }

        private void after(double took, String bytes, String what) {
            count.accept(what);
            int cut = random.nextInt(bytes.length() + 1);
            calendar.after(took, () -> {
                midway = cut > 0;
                write(bytes.substring(0, cut));
            });
            calendar.after(took + random.nextInt(20), () -> {
                // Some of it may come in the place of the next.
                if (random.nextInt(10) == 0 && !said.isEmpty()) {
                    String late = said;
                    count.accept("late surplus answers");
                    calendar.after(random.nextInt(40), () -> write(midway ? "" : late));
                }
                said = bytes;
                busy = false;
                midway = false;
                write(bytes.substring(cut));
                hear();
            });
        }

        private void write(String text) {
            String bytes = ignoresIds ? text.replaceAll("Attempt-Id: [^\r]*", "Attempt-Id: " + asked) : text;
            io.execute(() -> {
                if (channel.isActive()) {
                    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
                }
            });
        }
    }

    private static String answer(String status, String id, String body, String more) {
        return "HTTP/1.1 " + status + "\r\n" + (id.isEmpty() ? "" : "Attempt-Id: " + id + "\r\n") + more
                + "Content-Length: " + body.length() + END + body;
    }
}
