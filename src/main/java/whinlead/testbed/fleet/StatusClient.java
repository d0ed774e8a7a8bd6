package whinlead.testbed.fleet;

import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import whinlead.replication.wire.CopiesGrpc;
import whinlead.replication.wire.Wire;

/** Asks one process over gRPC what it knows of a replication group. Blocks its caller. */
final class StatusClient implements AutoCloseable {
    /** How long one call may take, in milliseconds. */
    static final long TIMEOUT_MS = 500;

    private static final int ATTEMPTS = 10;

    private final ManagedChannel channel;

    /** Calls the process at this host; connects with the first call. */
    StatusClient(String host) {
        channel = NettyChannelBuilder.forAddress(new InetSocketAddress(host, FleetFiles.GROUP))
                .usePlaintext()
                .build();
    }

    /** What it says of its membership in a group; empty if it does not answer in time. */
    Optional<Wire.StatusReply> status(String group) {
        try {
            return Optional.of(
                    call(Wire.StatusRequest.newBuilder().setSeatIn(group).build()));
        } catch (StatusRuntimeException e) {
            channel.resetConnectBackoff();
            return Optional.empty();
        }
    }

    /**
     * What it holds of a request: kind and number of the reply that it remembers, or "nothing" if it does not answer
     * any of several calls.
     *
     * @throws IOException if the thread is interrupted
     */
    String knownReply(String group, String requestId) throws IOException {
        Wire.StatusRequest request = Wire.StatusRequest.newBuilder()
                .setSeatIn(group)
                .setRequest(requestId)
                .build();
        for (int i = 0; i < ATTEMPTS; i++) {
            try {
                Wire.Reply known = call(request).getKnown();
                return known.getKind() + " " + known.getNumber();
            } catch (StatusRuntimeException e) {
                channel.resetConnectBackoff();
                FleetContext.pause();
            }
        }
        return "nothing";
    }

    private Wire.StatusReply call(Wire.StatusRequest request) {
        return CopiesGrpc.newBlockingStub(channel)
                .withDeadlineAfter(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .status(request);
    }

    /** Closes the channel; calls under way fail. */
    @Override
    public void close() {
        channel.shutdownNow();
    }
}
