package cobaltrack.run;

import cobaltrack.Contract;
import cobaltrack.consult.Consultations;
import cobaltrack.engine.Engine;
import cobaltrack.engine.Timers;
import cobaltrack.front.consult.ConsultServer;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * The external processor beside the sidecar's own front, on the same engine. Nothing of it is loaded unless an
 * operator's file asks for it.
 */
final class Processor {
    private final Consultations consultations;
    private final ConsultServer http;

    /** Made but idle. */
    Processor(ProcessorConfig config, EventLoop loop, Timers timers, Engine engine, Contract.Settings settings,
            ObjectMapper mapper, Consumer<String> log) {
        consultations = new Consultations(engine, timers, settings, config.bounds(), log);
        http = new ConsultServer(loop, NioServerSocketChannel.class, consultations, settings, mapper,
                config.connections());
    }

    Consultations consultations() {
        return consultations;
    }

    /** Listens; where, once it does. Throws what a failed bind throws. */
    InetSocketAddress listen(ProcessorConfig config) {
        return (InetSocketAddress) http.listen(config.http()).syncUninterruptibly().channel().localAddress();
    }
}
