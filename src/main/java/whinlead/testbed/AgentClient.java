package whinlead.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * A proxy's connections to the program, over one of its protocols. A call whose connection breaks is answered with
 * null. For one loop.
 */
final class AgentClient {
    /** One connection, as its protocol has it; the loop's. */
    interface Wire {
        /** Connects; {@code ready} is run once it can be called, {@code closed} once it is closed. */
        void connect(EventLoop loop, SocketAddress to, Runnable ready, Runnable closed);

        /** Whether it takes one more call now. */
        boolean free();

        void call(String message, Map<String, String> arguments, Consumer<Map<String, String>> answer);

        /** Writes the first part of a call, of which the rest never comes. */
        void half();

        void close();

        /** Ends whatever has had no answer, with null. */
        void broken();
    }

    /** A protocol. */
    interface Protocol {
        Wire wire();
    }

    private record Call(String message, Map<String, String> arguments, Consumer<Map<String, String>> answer) {}

    private static final class Link {
        private final Wire wire;
        private boolean ready;

        private Link(Wire wire) {
            this.wire = wire;
        }
    }

    private final EventLoop loop;
    private final Protocol protocol;
    private SocketAddress to;
    private final int size;
    private final Random dice;
    private final List<Link> links = new ArrayList<>();
    private final Deque<Call> waiting = new ArrayDeque<>();

    AgentClient(EventLoop loop, Protocol protocol, SocketAddress to, int size, long seed) {
        this.loop = loop;
        this.protocol = protocol;
        this.to = to;
        this.size = size;
        this.dice = new Random(seed);
    }

    /** The program is there from now on. */
    void moved(SocketAddress address) {
        to = address;
    }

    /** Connects; what is called meanwhile waits. */
    void start() {
        while (links.size() < size) {
            connect();
        }
    }

    private void connect() {
        Link link = new Link(protocol.wire());
        links.add(link);
        link.wire.connect(
                loop,
                to,
                () -> {
                    link.ready = true;
                    pump();
                },
                () -> {
                    links.remove(link);
                    link.ready = false;
                    link.wire.broken();
                });
    }

    /** A connection with the handlers that {@code init} puts there. */
    static Channel connection(EventLoop loop, SocketAddress to, Consumer<Channel> init, Runnable closed) {
        Channel channel = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel made) {
                        init.accept(made);
                    }
                })
                .connect(to)
                .channel();
        channel.closeFuture().addListener(f -> closed.run());
        return channel;
    }

    void call(String message, Map<String, String> arguments, Consumer<Map<String, String>> answer) {
        waiting.add(new Call(message, arguments, a -> {
            answer.accept(a);
            pump();
        }));
        pump();
    }

    private void pump() {
        while (!waiting.isEmpty()) {
            List<Link> free =
                    links.stream().filter(l -> l.ready && l.wire.free()).toList();
            if (free.isEmpty()) {
                return;
            }
            Call c = waiting.poll();
            free.get(dice.nextInt(free.size())).wire.call(c.message(), c.arguments(), c.answer());
        }
    }

    /** Cuts one connection in the midst of a message, and makes another. */
    void cut() {
        List<Link> ready = links.stream().filter(l -> l.ready).toList();
        if (!ready.isEmpty()) {
            Link link = ready.get(dice.nextInt(ready.size()));
            link.wire.half();
            link.wire.close();
            start();
        }
    }

    /** The process dies: all its connections close, and what waits is lost. */
    void die() {
        List.copyOf(links).forEach(l -> l.wire.close());
        List<Call> lost = List.copyOf(waiting);
        waiting.clear();
        lost.forEach(c -> c.answer().accept(null));
    }
}
