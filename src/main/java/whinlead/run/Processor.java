package whinlead.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import whinlead.Contract;
import whinlead.consult.Consultations;
import whinlead.consult.Keeper;
import whinlead.engine.Engine;
import whinlead.engine.Timers;
import whinlead.front.consult.ConsultRequest;
import whinlead.front.consult.ConsultServer;
import whinlead.front.consult.HeaderNames;
import whinlead.front.extproc.ExtProcServer;
import whinlead.front.spop.SpopServer;

/**
 * The external processor beside the sidecar's own front, on the same engine. Nothing of it is loaded unless an
 * operator's file asks for it.
 */
final class Processor {
    private final ProcessorConfig config;
    private final Consultations consultations;
    private final EventLoop loop;
    private final Timers timers;
    private final ConsultRequest.Names names;
    private final ObjectMapper mapper;
    private final Consumer<String> log;

    /**
     * Made but idle.
     *
     * @param keeper of what must outlive this process, or null
     * @throws IllegalArgumentException if its file names a class that the settings lack
     */
    Processor(
            ProcessorConfig config,
            EventLoop loop,
            Timers timers,
            Engine engine,
            Contract.Settings settings,
            Keeper keeper,
            ObjectMapper mapper,
            Consumer<String> log) {
        this.config = config;
        this.loop = loop;
        this.timers = timers;
        this.names = new ConsultRequest.Names(settings, config.usualClass());
        this.mapper = mapper;
        this.log = log;
        consultations = new Consultations(engine, timers, settings, config.bounds(), keeper, log);
    }

    Consultations consultations() {
        return consultations;
    }

    /**
     * Listens where its file says; the addresses by the front's name. Throws what a failed bind throws. Not to be
     * called on the loop.
     */
    Map<String, InetSocketAddress> listen() throws IOException {
        Map<String, InetSocketAddress> at = new LinkedHashMap<>();
        if (config.http() != null) {
            at.put(
                    "http",
                    bound(new ConsultServer(
                                    loop,
                                    NioServerSocketChannel.class,
                                    consultations,
                                    names,
                                    new HeaderNames().with(config.headers()),
                                    mapper,
                                    config.http().connections())
                            .listen(config.http().address())));
        }
        if (config.spop() != null) {
            at.put(
                    "spop",
                    bound(new SpopServer(
                                    loop,
                                    NioServerSocketChannel.class,
                                    consultations,
                                    names,
                                    config.spop().connections())
                            .listen(config.spop().address())));
        }
        if (config.envoy() != null) {
            at.put(
                    "envoy",
                    new ExtProcServer(
                                    loop,
                                    timers,
                                    consultations,
                                    names,
                                    config.headers(),
                                    config.envoy().connections(),
                                    config.streams())
                            .listen(config.envoy().address()));
        }
        return at;
    }

    /**
     * Reads its file again, on the loop, and takes the bounds from it; the rest is what the process was started with. A
     * bad file changes nothing.
     */
    void reload(String path) {
        try {
            consultations.bounds(ProcessorConfig.read(path, mapper).bounds());
            log.accept("processor's file reread: bounds taken over");
        } catch (IllegalArgumentException e) {
            log.accept("processor's file not taken over: " + e.getMessage());
        }
    }

    private static InetSocketAddress bound(ChannelFuture binding) {
        return (InetSocketAddress) binding.syncUninterruptibly().channel().localAddress();
    }
}
