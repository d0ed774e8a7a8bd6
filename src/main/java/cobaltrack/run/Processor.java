package cobaltrack.run;

import cobaltrack.Contract;
import cobaltrack.consult.Consultations;
import cobaltrack.engine.Engine;
import cobaltrack.engine.Timers;
import cobaltrack.front.consult.ConsultServer;
import cobaltrack.front.spop.SpopServer;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The external processor beside the sidecar's own front, on the same engine. Nothing of it is loaded unless
 * an operator's file asks for it.
 */
final class Processor {
    private final ProcessorConfig config;
    private final Consultations consultations;
    private final EventLoop loop;
    private final Contract.Settings settings;
    private final ObjectMapper mapper;

    /** Made but idle. */
    Processor(ProcessorConfig config, EventLoop loop, Timers timers, Engine engine,
            Contract.Settings settings,
            ObjectMapper mapper, Consumer<String> log) {
        this.config = config;
        this.loop = loop;
        this.settings = settings;
        this.mapper = mapper;
        consultations = new Consultations(engine, timers, settings, config.bounds(), log);
    }

    Consultations consultations() {
        return consultations;
    }

    /** Listens where its file says; the addresses by the front's name. Throws what a failed bind throws. */
    Map<String, InetSocketAddress> listen() {
        Map<String, InetSocketAddress> at = new LinkedHashMap<>();
        if (config.http() != null) {
            at.put("http", bound(new ConsultServer(loop, NioServerSocketChannel.class, consultations,
                    settings, mapper,
                    config.http().connections()).listen(config.http().address())));
        }
        if (config.spop() != null) {
            at.put("spop", bound(new SpopServer(loop, NioServerSocketChannel.class, consultations, settings,
                    config.spop().connections()).listen(config.spop().address())));
        }
        return at;
    }

    private static InetSocketAddress bound(ChannelFuture binding) {
        return (InetSocketAddress) binding.syncUninterruptibly().channel().localAddress();
    }
}
