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
 * The external processor, which runs next to the sidecar's own HTTP server on the same engine. Its classes are loaded
 * only if an operator's file configures it.
 */
final class Processor {
    private final ProcessorConfig config;
    private final Consultations consultations;
    private final EventLoop loop;
    private final Timers timers;
    private final ConsultRequest.Names requestNames;
    private final ObjectMapper mapper;
    private final Consumer<String> log;

    /**
     * Creates the processor; it is idle until {@link #listen}.
     *
     * @param keeper stores state that has to outlive this process; may be null
     * @throws IllegalArgumentException if the file names a request class that is not in the settings
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
        this.requestNames = new ConsultRequest.Names(settings, config.defaultClass());
        this.mapper = mapper;
        this.log = log;
        consultations = new Consultations(engine, timers, settings, config.bounds(), keeper, log);
    }

    Consultations consultations() {
        return consultations;
    }

    /**
     * Listens at the configured addresses and returns the bound addresses by the name of the front. Throws the
     * exception of a failed bind. Must not be called on the event loop.
     */
    Map<String, InetSocketAddress> listen() throws IOException {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        if (config.http() != null) {
            addresses.put(
                    "http",
                    boundAddress(new ConsultServer(
                                    loop,
                                    NioServerSocketChannel.class,
                                    consultations,
                                    requestNames,
                                    new HeaderNames().with(config.headerNames()),
                                    mapper,
                                    config.http().maxConnections())
                            .listen(config.http().address())));
        }
        if (config.spop() != null) {
            addresses.put(
                    "spop",
                    boundAddress(new SpopServer(
                                    loop,
                                    NioServerSocketChannel.class,
                                    consultations,
                                    requestNames,
                                    config.spop().maxConnections())
                            .listen(config.spop().address())));
        }
        if (config.envoy() != null) {
            addresses.put(
                    "envoy",
                    new ExtProcServer(
                                    loop,
                                    timers,
                                    consultations,
                                    requestNames,
                                    config.headerNames(),
                                    config.envoy().maxConnections(),
                                    config.streamsPerConnection())
                            .listen(config.envoy().address()));
        }
        return addresses;
    }

    /**
     * Reads the file again and applies its bounds; all other settings stay as they were at start. An invalid file
     * changes nothing. Has to be called on the event loop.
     */
    void reload(String path) {
        try {
            consultations.bounds(ProcessorConfig.read(path, mapper).bounds());
            log.accept("processor file reread: bounds applied");
        } catch (IllegalArgumentException e) {
            log.accept("processor file not applied: " + e.getMessage());
        }
    }

    private static InetSocketAddress boundAddress(ChannelFuture binding) {
        return (InetSocketAddress) binding.syncUninterruptibly().channel().localAddress();
    }
}
