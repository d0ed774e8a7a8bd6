package whinlead.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import whinlead.Contract;
import whinlead.admit.Budget;
import whinlead.consult.Bounds;
import whinlead.consult.Consultations;
import whinlead.engine.Clock;
import whinlead.engine.Engine;
import whinlead.front.consult.ConsultRequest;
import whinlead.front.consult.ConsultServer;
import whinlead.front.consult.HeaderNames;
import whinlead.front.extproc.ExtProcServer;
import whinlead.front.http1.ClientServer;
import whinlead.front.spop.SpopServer;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.transport.EndpointPool;

/** The program's engine with one front, in this process and on a loop of its own, to be looked into. */
final class ProcessorRig implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 448;
    private static final int CONNECT_MS = 1000;
    private static final int IDLE_MS = 10_000;
    private static final int MAX_STREAMS = 20_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final LoopTimers timers = new LoopTimers(loop, clock);
    private final Contract.Settings settings;
    private final EndpointPool pool;
    private final Engine engine;
    private final Consultations consultations;
    private final List<String> log = new CopyOnWriteArrayList<>();
    private InetSocketAddress address;

    /** An engine round these decisions, which knows these endpoints, without a front. */
    ProcessorRig(
            Contract.Settings settings,
            Function<Contract.Actions, Contract.Events> module,
            Bounds bounds,
            EndpointList known)
            throws IOException {
        this.settings = settings;
        pool = new EndpointPool(
                loop,
                NioSocketChannel.class,
                clock,
                CONNECT_MS,
                IDLE_MS,
                Budget.fixed(Budget.Purpose.ENDPOINTS, MAX_CONNECTIONS));
        engine = new Engine(timers, settings, module, this::follow, log::add);
        consultations = new Consultations(engine, timers, settings, bounds, log::add);
        ask(() -> {
            engine.start(() -> {}, known);
            return known;
        });
    }

    private void follow(EndpointList list) {
        pool.update(list);
        consultations.update(list);
    }

    /** Other proxies ask it. */
    ProcessorRig consulted(AgentFront front) throws IOException {
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ConsultRequest.Names names = new ConsultRequest.Names(settings);
        address = switch (front) {
            case HTTP ->
                bound(new ConsultServer(
                                loop,
                                NioServerSocketChannel.class,
                                consultations,
                                names,
                                new HeaderNames(),
                                new ObjectMapper(),
                                MAX_CONNECTIONS)
                        .listen(at));
            case SPOP ->
                bound(new SpopServer(loop, NioServerSocketChannel.class, consultations, names, MAX_CONNECTIONS)
                        .listen(at));
            case ENVOY ->
                new ExtProcServer(loop, timers, consultations, names, Map.of(), MAX_CONNECTIONS, MAX_STREAMS)
                        .listen(at);
        };
        return this;
    }

    /** An application asks it, and it sends to the endpoints itself. */
    ProcessorRig plain() throws IOException {
        ClientServer server =
                ask(() -> new ClientServer(loop, clock, engine, pool::transport, settings, MAX_CONNECTIONS));
        address = bound(server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
        loop.execute(server::ready);
        return this;
    }

    private static InetSocketAddress bound(ChannelFuture binding) {
        return (InetSocketAddress) binding.syncUninterruptibly().channel().localAddress();
    }

    InetSocketAddress address() {
        return address;
    }

    /** The list has changed. */
    void list(EndpointList list) {
        loop.execute(() -> engine.listReceived(Contract.ListKind.FULL, list));
    }

    /** To be run on its loop, which owns the engine and the module. */
    void run(Runnable task) {
        loop.execute(task);
    }

    /** The answer to a question that its loop is asked. */
    <T> T ask(Callable<T> question) throws IOException {
        try {
            return loop.submit(question).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException("the engine's loop failed", e.getCause());
        }
    }

    /** To be looked at on its loop only. */
    Consultations consultations() {
        return consultations;
    }

    /** Decisions that failed by a fault. */
    int faults() {
        return (int) log.stream().filter(l -> l.startsWith("decision failed")).count();
    }

    /** As its process would end: its sockets close, and what it held is gone. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
