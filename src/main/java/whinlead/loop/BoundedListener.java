package whinlead.loop;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;

/** Takes so many connections at once and closes ones beyond, which gRPC has no setting for. For one loop. */
public final class BoundedListener extends NioServerSocketChannel {
    private final int most;
    private int open;

    /** One that takes no more than these at once. */
    public BoundedListener(int most) {
        this.most = most;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int before = accepted.size();
        int count = super.doReadMessages(accepted);
        if (accepted.size() == before) {
            return count;
        }
        Channel last = (Channel) accepted.get(accepted.size() - 1);
        if (open == most) {
            accepted.remove(accepted.size() - 1);
            last.unsafe().closeForcibly();
            return count;
        }
        open++;
        // On the loop that accepted it: this server has one for both.
        last.closeFuture().addListener(f -> open--);
        return count;
    }
}
