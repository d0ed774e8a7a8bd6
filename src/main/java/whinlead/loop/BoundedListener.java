package whinlead.loop;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;

/** Limits the number of concurrent connections and closes further ones, for which gRPC has no setting. For one loop. */
public final class BoundedListener extends NioServerSocketChannel {
    private final int maxConnections;
    private int open;

    /** Creates a listener with this maximum of concurrent connections. */
    public BoundedListener(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int before = accepted.size();
        int count = super.doReadMessages(accepted);
        if (accepted.size() == before) {
            return count;
        }
        Channel last = (Channel) accepted.get(accepted.size() - 1);
        if (open == maxConnections) {
            accepted.remove(accepted.size() - 1);
            last.unsafe().closeForcibly();
            return count;
        }
        open++;
        // Runs on the loop that accepted the connection: this server uses one loop for both.
        last.closeFuture().addListener(f -> open--);
        return count;
    }
}
