package whinlead.mesh.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import whinlead.engine.Timers;
import whinlead.http.StrictClientCodec;
import whinlead.mesh.keys.GrantCall;
import whinlead.mesh.keys.ReleaseCall;

/**
 * Informs the endpoint beside this sidecar of the keys it owns, by {@code POST /whinlead/grant} and
 * {@code /whinlead/release}. If a call is not answered in time its connection is closed, so that undelivered data of it
 * never arrives. Runs on the loop's thread.
 */
final class EndpointGrants implements EndpointKeys {
    private static final int CONNECT_TIMEOUT_MS = 500;
    /** How long a grant may take to be answered. */
    private static final int GRANT_TIMEOUT_MS = 800;
    /** How long a release may take to be answered; the endpoint first finishes its running requests. */
    private static final int RELEASE_TIMEOUT_MS = 6000;

    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    /**
     * Maximum number of concurrent grants, and of idle connections kept for later calls; a further connection would
     * cost more than the short wait.
     */
    private static final int MAX_GRANTS = 2;

    /** Maximum number of concurrent releases, each of which may wait for running requests. */
    private static final int MAX_RELEASES = 4;

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final String HANDOFF = "Handoff";
    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * A call that is written once there is a connection, and whose response is passed on; a null response means that
     * there is none.
     */
    private interface Call {
        DefaultFullHttpRequest request();

        int timeoutMs();

        boolean isRelease();

        void completed(FullHttpResponse response);
    }

    private final EventLoop loop;
    private final Timers timers;
    private final SocketAddress address;
    private final Deque<Call> waitingGrants = new ArrayDeque<>();
    private final Deque<Call> waitingReleases = new ArrayDeque<>();
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Set<Connection> busy = new HashSet<>();

    EndpointGrants(EventLoop loop, Timers timers, SocketAddress address) {
        this.loop = loop;
        this.timers = timers;
        this.address = address;
    }

    @Override
    public void grant(GrantCall call, DoubleUnaryOperator holdMs, GrantListener listener) {
        add(new Call() {
            private double writtenAtMs;
            private double grantedMs;

            @Override
            public DefaultFullHttpRequest request() {
                writtenAtMs = timers.nowMs();
                grantedMs = holdMs.applyAsDouble(writtenAtMs);
                return grantedMs <= 0 ? null : post("/whinlead/grant", grantBody(call, grantedMs));
            }

            @Override
            public int timeoutMs() {
                return GRANT_TIMEOUT_MS;
            }

            @Override
            public boolean isRelease() {
                return false;
            }

            @Override
            public void completed(FullHttpResponse response) {
                int status = response == null ? 0 : response.status().code();
                if (status == OK) {
                    listener.granted(writtenAtMs, grantedMs);
                } else if (status == CONFLICT) {
                    listener.refused();
                } else {
                    listener.failed();
                }
            }
        });
    }

    @Override
    public void release(ReleaseCall call, ReleaseListener listener) {
        add(new Call() {
            @Override
            public DefaultFullHttpRequest request() {
                return post("/whinlead/release", "{" + rangeFields(call) + "}");
            }

            @Override
            public int timeoutMs() {
                return RELEASE_TIMEOUT_MS;
            }

            @Override
            public boolean isRelease() {
                return true;
            }

            @Override
            public void completed(FullHttpResponse response) {
                if (response != null && response.status().code() == OK) {
                    String handoff = response.headers().get(HANDOFF);
                    listener.released(handoff == null ? "" : handoff);
                } else {
                    listener.failed();
                }
            }
        });
    }

    private static String rangeFields(ReleaseCall call) {
        return "\"Source\":" + call.range().firstKey() + ",\"TargetVersion\":"
                + call.range().lastKey() + ",\"fence\":" + call.fence();
    }

    private static String grantBody(GrantCall call, double holdMs) {
        String seconds = String.format(Locale.ROOT, "%.3f", Math.floor(holdMs) / MILLIS_PER_SECOND);
        String body = "{" + rangeFields(new ReleaseCall(call.range(), call.fence())) + ",\"HoldS\":" + seconds;
        return body + (call.handoff().isEmpty() ? "}" : ",\"" + HANDOFF + "\":\"" + escaped(call.handoff()) + "\"}");
    }

    // The handoff value from the previous endpoint is passed on unchanged.
    private static String escaped(String text) {
        return text.replace("\\", "\\\\").replace("\"", "\\\"");
    }

    private static DefaultFullHttpRequest post(String path, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(bytes));
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        return request;
    }

    @Override
    public void clear() {
        waitingGrants.clear();
        waitingReleases.clear();
        Set.copyOf(busy).forEach(Connection::abandon);
        while (!idle.isEmpty()) {
            idle.poll().channel.close();
        }
    }

    private void add(Call call) {
        (call.isRelease() ? waitingReleases : waitingGrants).add(call);
        startWaitingCalls();
    }

    private void startWaitingCalls() {
        startCalls(waitingGrants, MAX_GRANTS, false);
        startCalls(waitingReleases, MAX_RELEASES, true);
    }

    private void startCalls(Deque<Call> waiting, int maxCalls, boolean release) {
        while (!waiting.isEmpty()
                && busy.stream()
                                .filter(each -> each.call.isRelease() == release)
                                .count()
                        < maxCalls) {
            Call call = waiting.poll();
            Connection idleConnection = idle.poll();
            while (idleConnection != null && !idleConnection.channel.isActive()) {
                idleConnection = idle.poll();
            }
            Connection connection = idleConnection == null ? new Connection() : idleConnection;
            connection.call = call;
            busy.add(connection);
            if (idleConnection == null) {
                connect(connection);
            } else {
                connection.write();
            }
        }
    }

    private void connect(Connection connection) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new StrictClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        connection);
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        connection.write();
                    } else {
                        connection.finishCall(null);
                    }
                });
    }

    /** A connection that carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Call call;
        private Timers.TimerHandle timer;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        private void write() {
            if (call == null) {
                channel.close();
                return;
            }
            DefaultFullHttpRequest request = call.request();
            if (request == null) {
                finishCall(null);
                return;
            }
            timer = timers.schedule(call.timeoutMs(), () -> finishCall(null));
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (call == null) {
                channel.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                finishCall(null);
            } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                finishCall(response);
            }
        }

        // Without a response the connection is closed: a call that is still buffered in it must not arrive later.
        private void finishCall(FullHttpResponse response) {
            Call finishedCall = call;
            clearCall();
            boolean reusable = response != null && HttpUtil.isKeepAlive(response) && idle.size() < MAX_GRANTS;
            if (reusable) {
                idle.add(this);
            } else if (channel != null) {
                channel.close();
            }
            if (finishedCall != null) {
                finishedCall.completed(response);
            }
            // Not within the call, which may be one of several failing connects.
            loop.execute(EndpointGrants.this::startWaitingCalls);
        }

        private void clearCall() {
            busy.remove(this);
            call = null;
            if (timer != null) {
                timer.cancel();
                timer = null;
            }
        }

        private void abandon() {
            clearCall();
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            if (call != null) {
                finishCall(null);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
