package whinlead.front.http1;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import whinlead.admit.Gate;
import whinlead.engine.Clock;

/**
 * On a listener: when a connection can't be accepted, which is for want of a descriptor (EMFILE, ENFILE), the gate says
 * which connection makes room and for how long nothing is to be accepted. Netty alone would stop for a second each
 * time, in which no good client comes in either.
 */
final class NoDescriptor<C> extends ChannelInboundHandlerAdapter {
    private final Gate<C> gate;
    private final Clock clock;
    private final Consumer<C> closer;

    NoDescriptor(Gate<C> gate, Clock clock, Consumer<C> closer) {
        this.gate = gate;
        this.clock = clock;
        this.closer = closer;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        if (!(cause instanceof IOException)) {
            super.exceptionCaught(ctx, cause);
            return;
        }
        C close = gate.descriptorsExhausted(clock.nowMs());
        ctx.channel().config().setAutoRead(false);
        ctx.channel()
                .eventLoop()
                .schedule(() -> ctx.channel().config().setAutoRead(true), (long) gate.pauseMs(), TimeUnit.MILLISECONDS);
        if (close != null) {
            closer.accept(close);
        }
    }
}
