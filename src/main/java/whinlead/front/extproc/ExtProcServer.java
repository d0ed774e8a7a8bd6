package whinlead.front.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.ServerInterceptors;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import whinlead.consult.Consultations;
import whinlead.consult.Peer;
import whinlead.consult.Peers;
import whinlead.engine.Timers;
import whinlead.front.consult.ConsultRequest;
import whinlead.front.consult.ConsultRequest.Field;
import whinlead.front.consult.HeaderNames;
import whinlead.loop.BoundedListener;

/**
 * Envoy's external processing over gRPC ({@code envoy.service.ext_proc.v3.ExternalProcessor}), all of it on the
 * engine's loop. A stream is one try of Envoy's at a request, which is known by its id across streams and connections.
 * A caller is told apart by its address.
 */
public final class ExtProcServer {
    /** Envoy's own bound on all headers of a request is 60 KiB. */
    private static final int MAX_MESSAGE = 64 * 1024;

    private static final int MAX_METADATA = 8 * 1024;
    private static final long MAX_HANDSHAKE_S = 5;
    /** Envoy keeps its connections for as long as it has requests. */
    private static final long IDLE_MOST_MINUTES = 10;

    private static final Context.Key<InetAddress> FROM = Context.key("from");

    private final EventLoop loop;
    private final Timers timers;
    private final Consultations consultations;
    private final ConsultRequest.Names names;
    private final HeaderNames headers;
    private final int connections;
    private final int streams;
    private final Peers<InetAddress> peers = new Peers<>(name -> new Peer(true, name));
    // Of each connection that is cut gRPC would log a stack trace a stream, and one for each message that is
    // no protobuf: callers must not fill the log. Held, for loggers are forgotten.
    private final Logger transport = Logger.getLogger("io.grpc.netty");
    private final Logger faults = Logger.getLogger("io.grpc.internal.SerializingExecutor");
    private long faultsSeen;

    /**
     * A server.
     *
     * @param headers what callers' headers are called, where it is not as Envoy and the platform have it
     * @param connections from callers at once; ones beyond are closed
     * @param streams of one connection at once; gRPC has the caller keep ones beyond back
     */
    public ExtProcServer(
            EventLoop loop,
            Timers timers,
            Consultations consultations,
            ConsultRequest.Names names,
            Map<Field, String> headers,
            int connections,
            int streams) {
        this.loop = loop;
        this.timers = timers;
        this.consultations = consultations;
        this.names = names;
        Map<Field, String> all = new EnumMap<>(Map.of(Field.ID, "x-request-id", Field.NOT_STARTED, "not-started"));
        all.putAll(headers);
        this.headers = new HeaderNames().with(all);
        this.connections = connections;
        this.streams = streams;
        transport.setLevel(Level.SEVERE);
        // The 1st, 2nd, 4th, 8th and so on; all of them come from the loop.
        faults.setFilter(fault -> (++faultsSeen & faultsSeen - 1) == 0);
    }

    /**
     * Listens on this address only, and gives the one bound. Not to be called on the loop.
     *
     * @throws IOException if it can't
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        // What gRPC does beside the loop, a deadline's end say, comes to it by this.
        Executor onLoop = task -> {
            if (loop.inEventLoop()) {
                task.run();
            } else {
                loop.execute(task);
            }
        };
        Server server = NettyServerBuilder.forAddress(address)
                .bossEventLoopGroup(loop)
                .workerEventLoopGroup(loop)
                .channelFactory(() -> new BoundedListener(connections))
                .executor(onLoop)
                .maxInboundMessageSize(MAX_MESSAGE)
                .maxInboundMetadataSize(MAX_METADATA)
                .maxConcurrentCallsPerConnection(streams)
                .handshakeTimeout(MAX_HANDSHAKE_S, TimeUnit.SECONDS)
                .maxConnectionIdle(IDLE_MOST_MINUTES, TimeUnit.MINUTES)
                .addService(ServerInterceptors.intercept(new Service(), new Sender()))
                .build()
                .start();
        return (InetSocketAddress) server.getListenSockets().get(0);
    }

    /** Notes where a call comes from. */
    private static final class Sender implements ServerInterceptor {
        @Override
        public <Q, A> ServerCall.Listener<Q> interceptCall(
                ServerCall<Q, A> call, Metadata metadata, ServerCallHandler<Q, A> next) {
            InetSocketAddress from = (InetSocketAddress) call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
            return Contexts.interceptCall(Context.current().withValue(FROM, from.getAddress()), call, metadata, next);
        }
    }

    private final class Service extends ExternalProcessorGrpc.ExternalProcessorImplBase {
        @Override
        public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> answers) {
            InetAddress from = FROM.get();
            return new ExtProcStream(
                    consultations,
                    timers,
                    names,
                    headers,
                    peers.connected(from),
                    () -> peers.disconnected(from),
                    (ServerCallStreamObserver<ProcessingResponse>) answers);
        }
    }
}
