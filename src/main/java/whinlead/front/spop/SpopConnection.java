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
 * One connection of HAProxy's. It knows four messages, whose arguments have the names of the consult API's JSON but for
 * {@code timeout}, in seconds: {@code ask}, {@code outcome}, {@code streaming} and {@code cancel}. An answer sets
 * variables: {@code do}, {@code endpoint}, {@code ip}, {@code port}, {@code attempt}, {@code retry_after}, or
 * {@code error}.
 */
final class SpopConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final String VERSION = "2.0";
    private static final int MIN_FRAME = 256;
    /** A peer that connects and says nothing. */
    private static final long MAX_HELLO_S = 5;

    // Its arguments are counted and checked as the header form is.
    private static final HeaderNames HEADERS = new HeaderNames();

    private final Consultations consultations;
    private final ConsultRequest.Names names;
    private final Peer peer;
    private final boolean room;
    private boolean greeted;
    private boolean ended;
    private int frameMost = SpopServer.MAX_FRAME;
    private Future<?> silent;

    SpopConnection(Consultations consultations, ConsultRequest.Names names, Peer peer, boolean room) {
        this.consultations = consultations;
        this.names = names;
        this.peer = peer;
        this.room = room;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        silent = ctx.executor().schedule(() -> ctx.close(), MAX_HELLO_S, TimeUnit.SECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ended = true;
        silent.cancel(false);
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
                case NOTIFY -> notified(ctx, frame);
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
        if (!room) {
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
        double theirs = Decimals.parse(size, Integer.MAX_VALUE);
        if (!(theirs >= MIN_FRAME)) {
            throw new SpopFrame.Invalid(SpopFrame.Status.BAD_FRAME_SIZE, "frame size under " + MIN_FRAME);
        }
        frameMost = (int) Math.min(theirs, SpopServer.MAX_FRAME);
        greeted = true;
        silent.cancel(false);
        ByteBuf out = SpopFrame.begin(ctx.alloc().buffer(), SpopFrame.Type.AGENT_HELLO, 0, 0);
        SpopFrame.pair(out, "version", VERSION);
        SpopFrame.pair(out, "max-frame-size", frameMost);
        SpopFrame.pair(out, "capabilities", "pipelining");
        var written = ctx.writeAndFlush(SpopFrame.end(out));
        if ("1".equals(pairs.get("healthcheck"))) {
            ended = true;
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void notified(ChannelHandlerContext ctx, SpopFrame frame) throws SpopFrame.Invalid {
        if (!greeted) {
            throw new SpopFrame.Invalid(SpopFrame.Status.INVALID, "NOTIFY before HELLO");
        }
        Map<String, Map<String, String>> messages = frame.messages();
        if (messages.size() != 1) {
            throw new SpopFrame.Invalid(SpopFrame.Status.INVALID, "one message a frame");
        }
        messages.forEach((name, arguments) -> {
            try {
                message(
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

    private void message(String name, ConsultRequest call, Consultations.Reply reply) throws ConsultRequest.Bad {
        switch (name) {
            case "ask" -> consultations.ask(peer, call.id(), call.ask(names), reply);
            case "outcome" -> {
                ConsultRequest.Ended e = call.ended();
                consultations.outcome(call.id(), e.attempt(), e.endpoint(), e.outcome(), e.report(), reply);
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
        SpopFrame.setVariable(out, "do", directive.word());
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

    private void disconnect(ChannelHandlerContext ctx, SpopFrame.Status status, String why) {
        ended = true;
        ByteBuf out = SpopFrame.begin(ctx.alloc().buffer(), SpopFrame.Type.AGENT_DISCONNECT, 0, 0);
        SpopFrame.pair(out, "status-code", status.code());
        SpopFrame.pair(out, "message", why);
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
