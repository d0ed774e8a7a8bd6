package whinlead.mesh.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * One TCP connection between two processes of the system, on its loop's thread. Every message goes behind its length. A
 * message of a later version's kind is passed over. A malformed one is refused by name; it ends the connection if
 * nobody would say it again, for the new connection says all anew. One that is too long ends it.
 */
public final class PeerConnection implements MessageSender {
    /** The longest message: a request's body at most, and what goes around it. */
    public static final int MAX_MESSAGE_BYTES = 24 << 20;

    private static final int LENGTH_BYTES = 4;

    /** Hears what comes. */
    public interface MessageHandler {
        /** The link is up. */
        void connected(PeerConnection link);

        /** A message came. */
        void message(PeerConnection link, PeerMessage message);

        /** The link is down; told once if it was up. */
        void disconnected(PeerConnection link);
    }

    private final Channel channel;
    private final TransitClock transit = new TransitClock();
    private String peer;
    /** What both sides speak; the least until the other side has said more. */
    private int version = ProtocolVersion.UNVERSIONED;

    private PeerConnection(Channel channel) {
        this.channel = channel;
    }

    /** Puts the link's handlers on new connections. */
    public static ChannelInitializer<Channel> handlers(MessageHandler ear) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.config().setOption(ChannelOption.TCP_NODELAY, true);
                ch.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                                new Reader(ear));
            }
        };
    }

    /** Sends a message; it is lost if the link goes down, or the other side does not know its kind yet. */
    @Override
    public void send(PeerMessage message) {
        if (PeerMessageCodec.since(message) <= version) {
            send(PeerMessageCodec.write(message));
        }
    }

    @Override
    public void send(byte[] written) {
        ByteBuf length = Unpooled.buffer(LENGTH_BYTES).writeInt(written.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(written)), channel.voidPromise());
    }

    /** Whether more can be sent without piling up. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** How long what comes by it waited on the way. */
    public TransitClock transit() {
        return transit;
    }

    /** Who the other side said that it is; null before that. */
    @Override
    public String peer() {
        return peer;
    }

    /** Notes who it is. */
    public void peer(String id) {
        peer = id;
    }

    /** The protocol version that both sides speak; the least one until the other side has greeted. */
    @Override
    public int version() {
        return version;
    }

    /** Takes in the other side's versions; false, and the link is ended, if none is shared. */
    private boolean agree(PeerMessage.Hello hello) {
        boolean shared = ProtocolVersion.OURS.sharesOneWith(hello.versions());
        if (shared) {
            version = ProtocolVersion.OURS.agreedWith(hello.versions());
        } else {
            VersionEvents.PROCESS.refused(
                    hello.id(),
                    "speaks protocol versions " + hello.versions() + ", this program " + ProtocolVersion.OURS);
            close();
        }
        return shared;
    }

    /** Ends it. */
    public void close() {
        channel.close();
    }

    /** Whether it is up. */
    public boolean isOpen() {
        return channel.isActive();
    }

    private static final class Reader extends SimpleChannelInboundHandler<ByteBuf> {
        private final MessageHandler ear;
        private PeerConnection link;

        private Reader(MessageHandler ear) {
            this.ear = ear;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            link = new PeerConnection(ctx.channel());
            ear.connected(link);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            try {
                read(PeerMessageCodec.read(ByteBufUtil.getBytes(frame)));
            } catch (MalformedMessageException e) {
                VersionEvents.PROCESS.refused(link.peer, e.getMessage());
                if (!e.repairedByRepetition()) {
                    ctx.close();
                }
            }
        }

        private void read(PeerMessage message) {
            if (message instanceof PeerMessage.Unknown unknown) {
                VersionEvents.PROCESS.passedOver(unknown.kind());
            } else if (!(message instanceof PeerMessage.Hello hello) || link.agree(hello)) {
                ear.message(link, message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ear.disconnected(link);
        }

        // A message that is too long, and connections that break, end alike: by a close.
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
