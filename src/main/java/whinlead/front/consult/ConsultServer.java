package whinlead.front.consult;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import whinlead.consult.Consultations;
import whinlead.consult.Peer;
import whinlead.consult.Peers;

/**
 * The plain consult API: HTTP/1.1, one call a message, for nginx and for proxies of people's own. A caller is told
 * apart by its address, and what it has open outlives its connections: the deadline ends it.
 */
public final class ConsultServer {
    /** Of a body or of all headers; more than any call needs. */
    private static final int MAX_MESSAGE = 16 * 1024;

    private static final int MAX_LINE = 4096;
    /** Longer than the idle times of proxies' connection pools, nginx's of a minute say. */
    private static final long MAX_IDLE_S = 75;

    private final EventLoop loop;
    private final Class<? extends ServerChannel> channels;
    private final Consultations consultations;
    private final ConsultRequest.Names names;
    private final HeaderNames headers;
    private final ObjectMapper mapper;
    private final int most;
    private final Peers<InetAddress> peers = new Peers<>(name -> new Peer(true, name));
    private final ChannelGroup connections;

    /**
     * A server for callers.
     *
     * @param most connections from callers at once; ones beyond are closed
     */
    public ConsultServer(
            EventLoop loop,
            Class<? extends ServerChannel> channels,
            Consultations consultations,
            ConsultRequest.Names names,
            HeaderNames headers,
            ObjectMapper mapper,
            int most) {
        this.loop = loop;
        this.channels = channels;
        this.consultations = consultations;
        this.names = names;
        this.headers = headers;
        this.mapper = mapper;
        this.most = most;
        this.connections = new DefaultChannelGroup(loop);
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
        if (connections.size() >= most) {
            channel.close();
            return;
        }
        connections.add(channel);
        InetAddress from = ((InetSocketAddress) channel.remoteAddress()).getAddress();
        Peer peer = peers.connected(from);
        channel.closeFuture().addListener(f -> peers.disconnected(from));
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, MAX_IDLE_S, TimeUnit.SECONDS),
                        new HttpServerCodec(MAX_LINE, MAX_MESSAGE, MAX_MESSAGE),
                        new HttpObjectAggregator(MAX_MESSAGE),
                        new ConsultConnection(consultations, names, headers, mapper, peer));
    }
}
