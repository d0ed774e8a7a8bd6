package whinlead.testbed.mesh.scale;

import whinlead.mesh.registry.Listing;
import whinlead.mesh.wire.Letter;
import whinlead.mesh.wire.Link;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Listings of carriers that are not there, said to every office as theirs would be, so that a directory can
 * be larger than the machine holds carriers. Said again now and then, or they would be listed as gone.
 */
final class Ghosts implements Link.Ear {
    /** Well within the time after which an office lists who is silent as gone. */
    private static final long AGAIN_S = 5;
    private static final int PORT = 7000;
    /** Addresses of one block. */
    private static final int BLOCK = 250;

    private final EventLoop loop;
    private final Letter.Post post;

    Ghosts(EventLoop loop, Sizes sizes) {
        this.loop = loop;
        List<Listing> all = new ArrayList<>();
        for (int i = 0; i < sizes.listed(); i++) {
            all.add(new Listing("127.45." + i / BLOCK + "." + (1 + i % BLOCK) + ":" + PORT, 1, 1, "hall-a",
                    "ghost-" + i, Sizes.service(i % sizes.services()), Listing.Phase.SERVING, 6, 0));
        }
        this.post = new Letter.Post(all);
    }

    /** Begins to say them to an office. */
    void say(Places places, int office) throws InterruptedException {
        new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(Link.handlers(this))
                .connect(places.officeIp(office), places.talk()).sync();
    }

    @Override
    public void up(Link link) {
        link.send(new Letter.Hello("ghosts", false));
        link.send(post);
        loop.scheduleAtFixedRate(() -> link.send(post), AGAIN_S, AGAIN_S, TimeUnit.SECONDS);
    }

    @Override
    public void letter(Link link, Letter letter) { }

    @Override
    public void down(Link link) { }
}
