package whinlead.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;
import whinlead.admit.Budget;
import whinlead.engine.Clock;
import whinlead.engine.Transport;
import whinlead.http.HttpAnswer;
import whinlead.http.HttpAsk;
import whinlead.http.LoadReport;
import whinlead.membership.EndpointList;

/**
 * Connections to endpoints, each with one request at a time, and what became of each attempt. It sends what it is told
 * once and never again. Everything here runs on the one event loop.
 */
public final class EndpointPool {
    private static final String NOT_STARTED = "Not-Started";
    /** Of the endpoint's own idle limit: a request must never cross the endpoint's closing. */
    private static final double IDLE_SHARE = 0.75;

    private static final long SWEEP_MS = 1000;
    /** No endpoint is taken to close connections that have been idle for less. */
    private static final double MIN_IDLE_MS = 50;
    /** Of the idle time after which an endpoint was found to have closed, and what a second adds to it again. */
    private static final double IDLE_CUT = 0.5;

    private static final double IDLE_REGAIN = 1.2;
    /** Interim answers ahead of the real one; more are not meant to end. */
    private static final int MAX_INTERIM = 8;
    /** An answer that has begun and brings nothing for so long will not end. */
    private static final double STALL_MS = 500;
    /** How long a connection rests after an answer, for bytes behind it to show themselves. */
    private static final long REST_MS = 10;

    private final EventLoop loop;
    private final Clock clock;
    private final Bootstrap bootstrap;
    private final double idleMost;
    private final Budget budget;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final ArrayDeque<Connection> resting = new ArrayDeque<>();
    private boolean restTimer;
    private int open;

    /**
     * A pool.
     *
     * @param channels the kind of connections
     * @param endpointIdle milliseconds after which an endpoint closes an idle connection
     * @param budget says how many connections to all endpoints together may be open at once
     */
    public EndpointPool(
            EventLoop loop,
            Class<? extends Channel> channels,
            Clock clock,
            int connectTimeout,
            double endpointIdle,
            Budget budget) {
        this.loop = loop;
        this.clock = clock;
        this.idleMost = endpointIdle * IDLE_SHARE;
        this.budget = budget;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(channels)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout);
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes in the list: addresses may move, and what drains or is gone keeps no idle connections. */
    public void update(EndpointList list) {
        if (list.whole()) {
            endpoints.values().forEach(e -> e.up = false);
        }
        for (EndpointList.Entry entry : list.entries()) {
            Endpoint e = endpoints.computeIfAbsent(entry.server().id(), id -> new Endpoint(idleMost));
            if (!Objects.equals(entry.address(), e.address)) {
                e.closeIdle();
                e.address = entry.address();
            }
            e.up = entry.server().standing() == Contract.Standing.UP;
        }
        endpoints.values().removeIf(e -> {
            if (!e.up) {
                e.closeIdle();
            }
            return !e.up;
        });
    }

    /** What sends the attempts of this request. */
    public Transport<HttpAnswer> transport(HttpAsk ask) {
        return new Transport<>() {
            @Override
            public Sending send(String endpoint, int attempt, double within, Outcomes<HttpAnswer> told) {
                return EndpointPool.this.send(endpoint, ask.attempt(attempt, within), told);
            }

            @Override
            public boolean connected(String endpoint) {
                Endpoint e = endpoints.get(endpoint);
                return e != null && !e.idle.isEmpty();
            }
        };
    }

    private Attempt send(String id, FullHttpRequest request, Transport.Outcomes<HttpAnswer> listener) {
        Attempt attempt = new Attempt(request, listener);
        Endpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            attempt.end(Contract.Outcome.NEVER_SENT, null, null);
            return attempt;
        }
        Connection idle = endpoint.takeIdle(clock.now());
        if (idle != null) {
            idle.write(attempt);
        } else if (open < budget.may(Budget.Purpose.ENDPOINTS) || closeOldestIdle()) {
            connect(endpoint, attempt);
        } else {
            // Guards against running out of descriptors: nothing was sent, and the module may go elsewhere.
            budget.refused(Budget.Purpose.ENDPOINTS);
            attempt.end(Contract.Outcome.CONNECT_FAILED, null, null);
        }
        return attempt;
    }

    private void connect(Endpoint endpoint, Attempt attempt) {
        Connection connection = new Connection(endpoint);
        count(1);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.addTo(channel.pipeline());
                    }
                })
                .connect(endpoint.address);
        connection.channel = connecting.channel();
        connecting.addListener(f -> {
            // Guards against counting for ever what never was: with no descriptor left there is no channel
            // to close.
            if (!f.isSuccess()) {
                count(-1);
                attempt.end(Contract.Outcome.CONNECT_FAILED, null, null);
                return;
            }
            connection.channel.closeFuture().addListener(closed -> count(-1));
            if (attempt.over) {
                // Given up while connecting: the endpoint has paid for the connection, so the next request
                // has it.
                connection.release();
            } else {
                connection.write(attempt);
            }
        });
    }

    private void count(int more) {
        open += more;
        budget.used(Budget.Purpose.ENDPOINTS, open);
    }

    private void sweep() {
        for (Endpoint e : endpoints.values()) {
            e.idleMost = Math.min(idleMost, e.idleMost * IDLE_REGAIN);
            double before = clock.now() - e.idleMost;
            while (!e.idle.isEmpty() && e.idle.peekFirst().idleSince < before) {
                e.idle.pollFirst().channel.close();
            }
        }
    }

    private void rest(Connection c) {
        c.restsFrom = clock.now();
        resting.addLast(c);
        if (!restTimer) {
            restTimer = true;
            loop.schedule(this::releaseRested, REST_MS, TimeUnit.MILLISECONDS);
        }
    }

    // One timer for all that rest, for at many requests a second one for each took longer than the rest of
    // the way.
    private void releaseRested() {
        double before = clock.now() - REST_MS;
        while (!resting.isEmpty() && resting.peekFirst().restsFrom <= before) {
            resting.pollFirst().release();
        }
        restTimer = !resting.isEmpty();
        if (restTimer) {
            double wait = resting.peekFirst().restsFrom - before;
            loop.schedule(this::releaseRested, (long) Math.ceil(wait), TimeUnit.MILLISECONDS);
        }
    }

    private boolean closeOldestIdle() {
        Endpoint oldest = null;
        for (Endpoint e : endpoints.values()) {
            if (!e.idle.isEmpty()
                    && (oldest == null || e.idle.peekFirst().idleSince < oldest.idle.peekFirst().idleSince)) {
                oldest = e;
            }
        }
        Connection victim = oldest == null ? resting.pollFirst() : oldest.idle.pollFirst();
        if (victim == null) {
            return false;
        }
        victim.channel.close();
        return true;
    }

    /** An endpoint on the list, and its idle connections, the longest idle first. */
    private static final class Endpoint {
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        SocketAddress address;
        boolean up;
        double idleMost;

        Endpoint(double idleMost) {
            this.idleMost = idleMost;
        }

        // The one used last, so that those beyond need grow old and are closed.
        Connection takeIdle(double now) {
            Connection c = idle.pollLast();
            while (c != null && (!c.channel.isActive() || c.idleSince < now - idleMost)) {
                c.channel.close();
                c = idle.pollLast();
            }
            return c;
        }

        void closeIdle() {
            idle.forEach(c -> c.channel.close());
            idle.clear();
        }
    }

    /** One request under way to one endpoint. */
    private final class Attempt implements Transport.Sending {
        private final FullHttpRequest request;
        private final Transport.Outcomes<HttpAnswer> listener;
        private Connection connection;
        private boolean over;

        private Attempt(FullHttpRequest request, Transport.Outcomes<HttpAnswer> listener) {
            this.request = request;
            this.listener = listener;
        }

        private void end(Contract.Outcome outcome, HttpAnswer answer, Contract.Report report) {
            if (!over) {
                over = true;
                listener.ended(outcome, answer, report);
            }
        }

        // By closing its connection.
        @Override
        public boolean giveUp() {
            if (over) {
                return true;
            }
            over = true;
            if (connection == null) {
                return false;
            }
            boolean written = connection.written;
            connection.channel.close();
            return written;
        }
    }

    /** Guards against answers that Netty by itself would make something of, as another reader would not. */
    private static final class Decoder extends HttpResponseDecoder {
        private boolean begun;

        // It would drop the length and believe the chunks.
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
        }

        // It would take a line without a colon for a name, and noise in the head for an answer.
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (start + length >= line.length || line[start + length] != ':') {
                throw new IllegalArgumentException("a header without a colon");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            begun = true;
            return super.createMessage(initialLine);
        }

        // True if the first line of an answer has come, or a part of it.
        private boolean holdsMore() {
            return begun || actualReadableBytes() > 0;
        }
    }

    /** One connection and the attempt on it, if any. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Endpoint endpoint;
        private final SocketAddress address;
        private final Decoder decoder = new Decoder();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Channel channel;
        private Attempt attempt;
        private boolean written;
        private HttpResponse head;
        private int interim;
        private boolean whole;
        private boolean surplus;
        private double readAt;
        private Future<?> stall;
        private double idleSince;
        private double restsFrom;
        private double idleFor;

        private Connection(Endpoint endpoint) {
            this.endpoint = endpoint;
            this.address = endpoint.address;
        }

        private void addTo(ChannelPipeline pipeline) {
            pipeline.addLast(new Bytes(), decoder, new HttpRequestEncoder(), this);
        }

        /** Guards against an answer to nobody: a second copy, or noise, must not wait here for the next request. */
        private final class Bytes extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (attempt == null || attempt.over) {
                    ((ByteBuf) message).release();
                    ctx.close();
                } else {
                    readAt = clock.now();
                    ctx.fireChannelRead(message);
                }
            }
        }

        private void write(Attempt a) {
            attempt = a;
            a.connection = this;
            written = false;
            head = null;
            interim = 0;
            whole = false;
            surplus = false;
            readAt = 0;
            idleFor = idleSince > 0 ? clock.now() - idleSince : 0;
            body.reset();
            channel.writeAndFlush(a.request).addListener(f -> {
                if (f.isSuccess()) {
                    written = true;
                } else {
                    spoilt();
                }
            });
        }

        // Guards against a connection to where the endpoint was: it may have moved while this one was in use.
        private void release() {
            if (channel.isActive() && endpoint.up && address.equals(endpoint.address)) {
                idleSince = clock.now();
                endpoint.idle.addLast(this);
            } else {
                channel.close();
            }
        }

        // A break before the last byte was written proves that nothing ran, a later one proves nothing.
        private void broken() {
            if (attempt != null) {
                Attempt a = attempt;
                attempt = null;
                // Guards against an endpoint that closes idle connections long before the time that it is
                // said to.
                if (!a.over && readAt == 0 && idleFor > MIN_IDLE_MS) {
                    endpoint.idleMost = Math.max(MIN_IDLE_MS, idleFor * IDLE_CUT);
                }
                a.end(written ? Contract.Outcome.RESET : Contract.Outcome.CONNECT_FAILED, null, null);
            }
        }

        // What comes spoilt has run, perhaps, and the connection is of no further use.
        private void spoilt() {
            channel.close();
            broken();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
            // Behind a whole answer anything may follow in the same pass; the end of the pass settles it.
            if (attempt == null || whole) {
                surplus = true;
                return;
            }
            if (message.decoderResult().isFailure() || message instanceof HttpResponse r && !sound(r)) {
                spoilt();
                return;
            }
            if (message instanceof HttpContent part) {
                ByteBuf bytes = part.content();
                if (body.size() + bytes.readableBytes() > HttpAsk.MAX_BODY) {
                    spoilt();
                    return;
                }
                bytes.readBytes(body, bytes.readableBytes());
                if (part instanceof LastHttpContent) {
                    whole = !isInterim(head);
                    head = whole ? head : null;
                    decoder.begun = false;
                }
            }
        }

        private static boolean isInterim(HttpResponse response) {
            return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }

        // Guards against what can't be told from an answer cut short by a dying endpoint, against reading
        // on what can't be passed on anyway, and against interim answers without end.
        private boolean sound(HttpResponse response) {
            head = response;
            if (isInterim(response)) {
                interim++;
                return interim <= MAX_INTERIM;
            }
            String encoding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
            if (encoding != null) {
                return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encoding);
            }
            return HttpUtil.isContentLengthSet(response) && HttpUtil.getContentLength(response) <= HttpAsk.MAX_BODY;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (attempt == null || attempt.over) {
                return;
            }
            if (whole) {
                finish();
            } else if (stall == null && decoder.holdsMore()) {
                // Guards against an answer that begins and never ends, on a connection that stays open.
                watchForStall(attempt, STALL_MS);
            }
        }

        private void watchForStall(Attempt a, double wait) {
            stall = loop.schedule(
                    () -> {
                        stall = null;
                        double left = readAt + STALL_MS - clock.now();
                        if (attempt != a || a.over) {
                            return;
                        }
                        if (left > 0) {
                            watchForStall(a, left);
                        } else {
                            spoilt();
                        }
                    },
                    (long) Math.ceil(wait),
                    TimeUnit.MILLISECONDS);
        }

        private void finish() {
            Attempt done = attempt;
            HttpResponse response = head;
            attempt = null;
            head = null;
            if (stall != null) {
                stall.cancel(false);
                stall = null;
            }
            if (written && HttpUtil.isKeepAlive(response) && !surplus && !decoder.holdsMore()) {
                // Guards against bytes that follow a little later, which would answer the next request: the
                // loop reads whatever has come before it runs this, so that a connection rests, however
                // late the loop.
                rest(this);
            } else {
                channel.close();
            }
            Contract.Outcome outcome = outcome(response);
            HttpHeaders headers = response.headers();
            HttpAnswer answer = outcome == Contract.Outcome.SERVED
                    ? new HttpAnswer(body.toByteArray(), headers.get(HttpHeaderNames.CONTENT_TYPE))
                    : null;
            done.end(outcome, answer, LoadReport.parse(headers.getAll(LoadReport.HEADER)));
        }

        private static Contract.Outcome outcome(HttpResponse response) {
            HttpResponseStatus status = response.status();
            if (status.equals(HttpResponseStatus.OK)) {
                return Contract.Outcome.SERVED;
            }
            boolean turnedAway = (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                            || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                    && "1".equals(response.headers().get(NOT_STARTED));
            return turnedAway ? Contract.Outcome.FULL : Contract.Outcome.ERROR;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            endpoint.idle.remove(this);
            broken();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
