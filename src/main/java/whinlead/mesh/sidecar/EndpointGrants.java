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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
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
import whinlead.mesh.keys.GrantCall;
import whinlead.mesh.keys.ReleaseCall;

/**
 * Tells the endpoint beside this sidecar which keys it holds, by {@code POST /whinlead/grant} and
 * {@code /whinlead/release}. A call that is not answered in time ends with its connection, so that what was not
 * delivered of it never is. On the loop's thread.
 */
final class EndpointGrants implements EndpointKeys {
    private static final int CONNECT_TIMEOUT_MS = 500;
    /** Within this the endpoint answers a grant. */
    private static final int GRANT_TIMEOUT_MS = 800;
    /** Within this it has ended what it runs, and answers a release. */
    private static final int RELEASE_TIMEOUT_MS = 6000;

    private static final int MAX_ANSWER_BYTES = 1 << 16;
    /** Grants at a time, and connections that are kept for later calls: a connection costs more than a short wait. */
    private static final int MAX_GRANTS = 2;

    /** Releases at a time, each of which may wait for what runs. */
    private static final int MAX_RELEASES = 4;

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final String HANDOFF = "Handoff";
    private static final double MILLIS_IN_SECOND = 1000;

    /** A request that is written when there is a connection, and where its answer goes; null for none. */
    private interface Call {
        DefaultFullHttpRequest request();

        int timeoutMs();

        boolean isRelease();

        void ended(FullHttpResponse answer);
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
            private double writtenAt;
            private double heldMs;

            @Override
            public DefaultFullHttpRequest request() {
                writtenAt = timers.now();
                heldMs = holdMs.applyAsDouble(writtenAt);
                return heldMs <= 0 ? null : post("/whinlead/grant", grantBody(call, heldMs));
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
            public void ended(FullHttpResponse answer) {
                int status = answer == null ? 0 : answer.status().code();
                if (status == OK) {
                    listener.granted(writtenAt, heldMs);
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
                return post("/whinlead/release", "{" + range(call) + "}");
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
            public void ended(FullHttpResponse answer) {
                if (answer != null && answer.status().code() == OK) {
                    String handoff = answer.headers().get(HANDOFF);
                    listener.released(handoff == null ? "" : handoff);
                } else {
                    listener.failed();
                }
            }
        });
    }

    private static String range(ReleaseCall call) {
        return "\"Source\":" + call.range().from() + ",\"TargetVersion\":"
                + call.range().to() + ",\"fence\":" + call.fence();
    }

    private static String grantBody(GrantCall call, double holdMs) {
        String seconds = String.format(Locale.ROOT, "%.3f", Math.floor(holdMs) / MILLIS_IN_SECOND);
        String body = "{" + range(new ReleaseCall(call.range(), call.fence())) + ",\"HoldS\":" + seconds;
        return body + (call.handoff().isEmpty() ? "}" : ",\"" + HANDOFF + "\":\"" + escaped(call.handoff()) + "\"}");
    }

    // What the endpoint before gave is passed on as it is.
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
        beginWaiting();
    }

    private void beginWaiting() {
        begin(waitingGrants, MAX_GRANTS, false);
        begin(waitingReleases, MAX_RELEASES, true);
    }

    private void begin(Deque<Call> waiting, int most, boolean releases) {
        while (!waiting.isEmpty()
                && busy.stream()
                                .filter(each -> each.call.isRelease() == releases)
                                .count()
                        < most) {
            Call call = waiting.poll();
            Connection kept = idle.poll();
            while (kept != null && !kept.channel.isActive()) {
                kept = idle.poll();
            }
            Connection connection = kept == null ? new Connection() : kept;
            connection.call = call;
            busy.add(connection);
            if (kept == null) {
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
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER_BYTES), connection);
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        connection.write();
                    } else {
                        connection.end(null);
                    }
                });
    }

    /** One call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Call call;
        private Timers.Timer timer;

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
                end(null);
                return;
            }
            timer = timers.after(call.timeoutMs(), () -> end(null));
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (call == null) {
                channel.close();
                return;
            }
            end(answer);
        }

        // Without an answer the connection ends too: a call that lies in it must not arrive later.
        private void end(FullHttpResponse answer) {
            Call over = call;
            abandonCall();
            boolean keep = answer != null && HttpUtil.isKeepAlive(answer) && idle.size() < MAX_GRANTS;
            if (keep) {
                idle.add(this);
            } else if (channel != null) {
                channel.close();
            }
            if (over != null) {
                over.ended(answer);
            }
            // Not in the caller's own call, which may be a failed connect of one of many.
            loop.execute(EndpointGrants.this::beginWaiting);
        }

        private void abandonCall() {
            busy.remove(this);
            call = null;
            if (timer != null) {
                timer.cancel();
                timer = null;
            }
        }

        private void abandon() {
            abandonCall();
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            if (call != null) {
                end(null);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
