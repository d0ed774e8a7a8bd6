package whinlead.front.spop;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import whinlead.consult.Consultations;
import whinlead.consult.Peer;
import whinlead.consult.Peers;
import whinlead.front.consult.ConsultRequest;

/**
 * An agent for HAProxy's filter {@code spoe}: protocol 2.0, pipelining, no fragments. The open requests of a caller
 * outlive its connections, which HAProxy opens and closes at any time; they end by their deadline.
 */
public final class SpopServer {
    /** The largest frame that HAProxy's buffers of 16 KiB allow. */
    static final int MAX_FRAME = 16_380;

    private final EventLoop loop;
    private final Class<? extends ServerChannel> channels;
    private final Consultations consultations;
    private final ConsultRequest.Names names;
    private final int maxConnections;
    // HAProxy has already sent the request when it handles the reply to an outcome, so it can't execute a retry.
    private final Peers<InetAddress> peers = new Peers<>(name -> new Peer(false, name));
    private int open;

    /**
     * Creates an agent.
     *
     * @param maxConnections concurrent connections; further ones get a DISCONNECT and are closed
     */
    public SpopServer(
            EventLoop loop,
            Class<? extends ServerChannel> channels,
            Consultations consultations,
            ConsultRequest.Names names,
            int maxConnections) {
        this.loop = loop;
        this.channels = channels;
        this.consultations = consultations;
        this.names = names;
        this.maxConnections = maxConnections;
    }

    /** Listens on this address only. */
    public ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(channels)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(address);
    }

    private void accept(Channel channel) {
        InetAddress from = ((InetSocketAddress) channel.remoteAddress()).getAddress();
        open++;
        Peer peer = peers.connected(from);
        channel.closeFuture().addListener(f -> {
            open--;
            peers.disconnected(from);
        });
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(MAX_FRAME + Integer.BYTES, 0, Integer.BYTES, 0, Integer.BYTES),
                        new SpopConnection(consultations, names, peer, open <= maxConnections));
    }
}
