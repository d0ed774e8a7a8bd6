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
import whinlead.mesh.log.Event;
import whinlead.mesh.log.GuardedTask;

/**
 * One TCP connection between two processes of the system, used on its event loop's thread. Each message follows its
 * length. A message of a later version's kind is ignored. A malformed message is rejected with its kind; it ends the
 * connection if its sender would not repeat it, because a new connection transfers the whole state again. A message
 * that is too long is not sent; one that is received ends the connection. An exception in the handling of a message is
 * logged, and the connection stays open.
 */
public final class PeerConnection implements MessageSender {
    /** The longest message with the length before it, in bytes; earlier versions send whole bodies of requests. */
    public static final int MAX_MESSAGE_BYTES = 24 << 20;

    private static final int LENGTH_BYTES = 4;

    /** Receives the events of a connection. */
    public interface MessageHandler {
        /** The connection was established. */
        void connected(PeerConnection connection);

        /** A message was received. */
        void message(PeerConnection connection, PeerMessage message);

        /** The connection was closed; called once if it was established. */
        void disconnected(PeerConnection connection);
    }

    private final Channel channel;
    private final TransitClock transitClock = new TransitClock();
    private String peer;
    /** The version that both sides use; the lowest one until the other side's greeting has arrived. */
    private int version = ProtocolVersion.UNVERSIONED;

    private PeerConnection(Channel channel) {
        this.channel = channel;
    }

    /** Returns an initializer that installs the message handlers on new connections. */
    public static ChannelInitializer<Channel> handlers(MessageHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.config().setOption(ChannelOption.TCP_NODELAY, true);
                ch.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                                new Reader(handler));
            }
        };
    }

    /** Sends a message; it is lost if the connection breaks or the other side's version does not know its kind. */
    @Override
    public void send(PeerMessage message) {
        trySend(message);
    }

    /** Sends a message as {@link #send(PeerMessage)} does; returns false if it is too long, and so was not sent. */
    boolean trySend(PeerMessage message) {
        if (PeerMessageCodec.minVersion(message) > version) {
            return true;
        }
        byte[] encoded = PeerMessageCodec.write(message);
        if (encoded.length > MAX_MESSAGE_BYTES - LENGTH_BYTES) {
            Event.MESSAGE_TOO_LONG.log(message.getClass().getSimpleName() + " of " + encoded.length + " bytes");
            return false;
        }
        send(encoded);
        return true;
    }

    @Override
    public void send(byte[] encoded) {
        ByteBuf length = Unpooled.buffer(LENGTH_BYTES).writeInt(encoded.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(encoded)), channel.voidPromise());
    }

    /** Whether more can be sent without growing the send buffer beyond its limit. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Measures how long received messages waited on their way. */
    public TransitClock transitClock() {
        return transitClock;
    }

    /** The name that the other side's greeting gave; null before that. */
    @Override
    public String peer() {
        return peer;
    }

    /** Sets the other side's name. */
    public void peer(String newPeer) {
        peer = newPeer;
    }

    /** The protocol version that both sides use; the lowest one until the other side's greeting has arrived. */
    @Override
    public int version() {
        return version;
    }

    /** Applies the other side's versions; returns false and closes the connection if none is shared. */
    private boolean negotiateVersion(PeerMessage.Hello hello) {
        boolean shared = ProtocolVersion.SUPPORTED.overlaps(hello.versions());
        if (shared) {
            version = ProtocolVersion.SUPPORTED.negotiate(hello.versions());
        } else {
            VersionEvents.PROCESS.logRejected(
                    hello.id(),
                    "speaks protocol versions " + hello.versions() + ", this program " + ProtocolVersion.SUPPORTED);
            close();
        }
        return shared;
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    /** Whether the connection is open. */
    public boolean isOpen() {
        return channel.isActive();
    }

    private static final class Reader extends SimpleChannelInboundHandler<ByteBuf> {
        private final MessageHandler handler;
        private PeerConnection connection;

        private Reader(MessageHandler handler) {
            this.handler = handler;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connection = new PeerConnection(ctx.channel());
            handler.connected(connection);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            try {
                read(PeerMessageCodec.read(ByteBufUtil.getBytes(frame)));
            } catch (MalformedMessageException e) {
                VersionEvents.PROCESS.logRejected(connection.peer, e.getMessage());
                if (!e.isRepeatedBySender()) {
                    ctx.close();
                }
            }
        }

        private void read(PeerMessage message) {
            if (message instanceof PeerMessage.Unknown unknown) {
                VersionEvents.PROCESS.logIgnored(unknown.kind());
            } else if (!(message instanceof PeerMessage.Hello hello) || connection.negotiateVersion(hello)) {
                // An exception in the handling of one message must not end what else is under way on the connection.
                GuardedTask.run(() -> handler.message(connection, message));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            handler.disconnected(connection);
        }

        // Messages that are too long and broken connections are handled alike: by closing.
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
