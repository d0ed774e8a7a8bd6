package whinlead.testbed.mesh.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;

/**
 * Endpoint records of sidecars that are not there, said to every control node as theirs would be, so that a directory
 * can be larger than the machine holds sidecars. Said again now and then, or they would be listed as gone.
 */
final class Ghosts implements PeerConnection.MessageHandler {
    /** Well within the time after which a control node lists who is silent as gone. */
    private static final long AGAIN_S = 5;

    private static final int PORT = 7000;
    /** Addresses of one block. */
    private static final int BLOCK = 250;

    private final EventLoop loop;
    private final PeerMessage.EndpointUpdate post;

    Ghosts(EventLoop loop, Sizes sizes) {
        this.loop = loop;
        List<EndpointRecord> all = new ArrayList<>();
        for (int i = 0; i < sizes.listed(); i++) {
            all.add(new EndpointRecord(
                    "127.45." + i / BLOCK + "." + (1 + i % BLOCK) + ":" + PORT,
                    1,
                    1,
                    "hall-a",
                    "ghost-" + i,
                    Sizes.service(i % sizes.services()),
                    EndpointRecord.Phase.SERVING,
                    6,
                    0));
        }
        this.post = new PeerMessage.EndpointUpdate(all);
    }

    /** Begins to say them to a control node. */
    void say(Places places, int controlNode) throws InterruptedException {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(PeerConnection.handlers(this))
                .connect(places.controlNodeIp(controlNode), places.talk())
                .sync();
    }

    @Override
    public void connected(PeerConnection link) {
        link.send(new PeerMessage.Hello("ghosts", false));
        link.send(post);
        loop.scheduleAtFixedRate(() -> link.send(post), AGAIN_S, AGAIN_S, TimeUnit.SECONDS);
    }

    @Override
    public void message(PeerConnection link, PeerMessage message) {}

    @Override
    public void disconnected(PeerConnection link) {}
}
