package whinlead.front.spop;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import whinlead.consult.Consultations;
import whinlead.consult.Directive;
import whinlead.consult.Peer;
import whinlead.front.consult.ConsultRequest;
import whinlead.front.consult.HeaderNames;
import whinlead.http.Decimals;

/**
 * One connection from HAProxy. It handles four messages, whose arguments are named as in the consult API's JSON except
 * for {@code timeout}, in seconds: {@code ask}, {@code outcome}, {@code streaming} and {@code cancel}. An answer sets
 * variables: {@code do}, {@code endpoint}, {@code ip}, {@code port}, {@code attempt}, {@code retry_after}, or
 * {@code error}.
 */
final class SpopConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final String VERSION = "2.0";
    private static final int MIN_FRAME = 256;
    /** Time within which a peer must send its HELLO. */
    private static final long MAX_HELLO_S = 5;

    // The arguments are parsed and checked in the units of the header form.
    private static final HeaderNames HEADERS = new HeaderNames();

    private final Consultations consultations;
    private final ConsultRequest.Names names;
    private final Peer peer;
    private final boolean admitted;
    private boolean greeted;
    private boolean ended;
    private int maxFrameSize = SpopServer.MAX_FRAME;
    private Future<?> helloTimeout;

    SpopConnection(Consultations consultations, ConsultRequest.Names names, Peer peer, boolean admitted) {
        this.consultations = consultations;
        this.names = names;
        this.peer = peer;
        this.admitted = admitted;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        helloTimeout = ctx.executor().schedule(() -> ctx.close(), MAX_HELLO_S, TimeUnit.SECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ended = true;
        helloTimeout.cancel(false);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (ended) {
            return;
        }
        try {
            SpopFrame frame = SpopFrame.read(bytes);
            switch (frame.type()) {
                case HAPROXY_HELLO -> hello(ctx, frame);
                case HAPROXY_DISCONNECT -> disconnect(ctx, SpopFrame.Status.NORMAL, "bye");
                case NOTIFY -> handleNotify(ctx, frame);
                default -> throw new SpopFrame.Invalid(SpopFrame.Status.INVALID, "an agent's frame");
            }
        } catch (SpopFrame.Invalid e) {
            disconnect(ctx, e.status(), e.getMessage());
        }
    }

    private void hello(ChannelHandlerContext ctx, SpopFrame frame) throws SpopFrame.Invalid {
        if (greeted) {
            throw new SpopFrame.Invalid(SpopFrame.Status.INVALID, "a second HELLO");
        }
        if (!admitted) {
            throw new SpopFrame.Invalid(SpopFrame.Status.RESOURCES, "too many connections");
        }
        Map<String, String> pairs = frame.pairs();
        String versions = pairs.get("supported-versions");
        if (versions == null) {
            throw new SpopFrame.Invalid(SpopFrame.Status.NO_VERSION, "no version");
        }
        if (Arrays.stream(versions.split(",")).map(String::trim).noneMatch(VERSION::equals)) {
            throw new SpopFrame.Invalid(SpopFrame.Status.BAD_VERSION, "version 2.0 only");
        }
        String size = pairs.get("max-frame-size");
        if (size == null) {
            throw new SpopFrame.Invalid(SpopFrame.Status.NO_FRAME_SIZE, "no frame size");
        }
        double peerFrameSize = Decimals.parse(size, Integer.MAX_VALUE);
        if (!(peerFrameSize >= MIN_FRAME)) {
            throw new SpopFrame.Invalid(SpopFrame.Status.BAD_FRAME_SIZE, "frame size under " + MIN_FRAME);
        }
        maxFrameSize = (int) Math.min(peerFrameSize, SpopServer.MAX_FRAME);
        greeted = true;
        helloTimeout.cancel(false);
        ByteBuf frameBuffer = SpopFrame.begin(ctx.alloc().buffer(), SpopFrame.Type.AGENT_HELLO, 0, 0);
        SpopFrame.pair(frameBuffer, "version", VERSION);
        SpopFrame.pair(frameBuffer, "max-frame-size", maxFrameSize);
        SpopFrame.pair(frameBuffer, "capabilities", "pipelining");
        var written = ctx.writeAndFlush(SpopFrame.end(frameBuffer));
        if ("1".equals(pairs.get("healthcheck"))) {
            ended = true;
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void handleNotify(ChannelHandlerContext ctx, SpopFrame frame) throws SpopFrame.Invalid {
        if (!greeted) {
            throw new SpopFrame.Invalid(SpopFrame.Status.INVALID, "NOTIFY before HELLO");
        }
        Map<String, Map<String, String>> messages = frame.messages();
        if (messages.size() != 1) {
            throw new SpopFrame.Invalid(SpopFrame.Status.INVALID, "one message a frame");
        }
        messages.forEach((name, arguments) -> {
            try {
                handleMessage(
                        name,
                        ConsultRequest.headers(f -> arguments.get(name(f)), HEADERS),
                        directive -> acknowledge(ctx, frame, directive));
            } catch (ConsultRequest.Bad e) {
                ByteBuf out = SpopFrame.begin(ctx.alloc().buffer(), SpopFrame.Type.ACK, frame.stream(), frame.frame());
                SpopFrame.setVariable(out, "do", "bad");
                SpopFrame.setVariable(out, "error", e.getMessage());
                ctx.writeAndFlush(SpopFrame.end(out));
            }
        });
    }

    private static String name(ConsultRequest.Field field) {
        return field == ConsultRequest.Field.TIMEOUT ? "timeout" : field.json();
    }

    private void handleMessage(String name, ConsultRequest call, Consultations.Reply reply) throws ConsultRequest.Bad {
        switch (name) {
            case "ask" -> consultations.ask(peer, call.id(), call.ask(names), reply);
            case "outcome" -> {
                ConsultRequest.Ended ended = call.ended();
                consultations.outcome(
                        call.id(), ended.attempt(), ended.endpoint(), ended.outcome(), ended.report(), reply);
            }
            case "streaming" -> {
                consultations.streaming(call.id(), call.attempt());
                reply.onDirective(new Directive.Served());
            }
            case "cancel" -> {
                consultations.abandoned(call.id());
                reply.onDirective(new Directive.Unknown());
            }
            default -> throw new ConsultRequest.Bad("message '" + name + "' is unknown");
        }
    }

    private void acknowledge(ChannelHandlerContext ctx, SpopFrame frame, Directive directive) {
        if (ended) {
            return;
        }
        ByteBuf out = SpopFrame.begin(ctx.alloc().buffer(), SpopFrame.Type.ACK, frame.stream(), frame.frame());
        SpopFrame.setVariable(out, "do", directive.wireName());
        if (directive instanceof Directive.Send send) {
            int colon = send.address().lastIndexOf(':');
            String host = send.address().substring(0, colon);
            SpopFrame.setVariable(out, "endpoint", send.endpoint());
            SpopFrame.setVariable(out, "ip", NetUtil.createByteArrayFromIpAddressString(host));
            SpopFrame.setVariable(out, "port", Integer.parseInt(send.address().substring(colon + 1)));
            SpopFrame.setVariable(out, "attempt", Integer.toString(send.attempt()));
        } else if (directive instanceof Directive.Refused refused && refused.retryAfterMs() > 0) {
            SpopFrame.setVariable(out, "retry_after", Decimals.seconds(refused.retryAfterMs()));
        } else if (directive instanceof Directive.TooMany tooMany) {
            SpopFrame.setVariable(out, "retry_after", Decimals.seconds(tooMany.retryAfterMs()));
        }
        ctx.writeAndFlush(SpopFrame.end(out));
    }

    private void disconnect(ChannelHandlerContext ctx, SpopFrame.Status status, String reason) {
        ended = true;
        ByteBuf out = SpopFrame.begin(ctx.alloc().buffer(), SpopFrame.Type.AGENT_DISCONNECT, 0, 0);
        SpopFrame.pair(out, "status-code", status.code());
        SpopFrame.pair(out, "message", reason);
        ctx.writeAndFlush(SpopFrame.end(out)).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException && !ended) {
            disconnect(ctx, SpopFrame.Status.TOO_BIG, "a frame over " + SpopServer.MAX_FRAME + " bytes");
        } else {
            ctx.close();
        }
    }
}
