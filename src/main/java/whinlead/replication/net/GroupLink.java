package whinlead.replication.net;

import io.grpc.Server;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import whinlead.engine.Timers;
import whinlead.loop.BoundedListener;
import whinlead.replication.codec.Commands;
import whinlead.replication.codec.Messages;
import whinlead.replication.raft.GroupHost;
import whinlead.replication.raft.GroupMessage;
import whinlead.replication.raft.Seat;
import whinlead.replication.raft.SeatStatus;
import whinlead.replication.wire.CopiesGrpc;
import whinlead.replication.wire.Wire;

/**
 * The gRPC transport between the processes of a site ({@code copies.proto}), all of it on the engine's loop. It has one
 * connection to each process that it sends to, shared by all groups; connections to processes without a common group
 * are closed when idle. It only transports messages. Senders are not authenticated: the address has to be on loopback
 * or a trusted network.
 */
public final class GroupLink {
    /** A full batch of entries and a snapshot chunk are far smaller. */
    private static final int MAX_MESSAGE_BYTES = 8 << 20;
    /** One connection, a second one while it is being reopened, and one of an operator. */
    private static final int CONNECTIONS_PER_PEER = 3;

    private final EventLoop loop;
    private final Executor onLoop;
    private final Timers timers;
    private final String name;
    private final Map<String, InetSocketAddress> addresses;
    private final Set<String> groupPeers;
    private final Consumer<String> log;
    private final Map<String, PeerConnection> connections = new HashMap<>();
    // Strongly referenced, since loggers are garbage collected and lose their level. At the default level gRPC
    // logs a stack trace for each broken connection.
    private final Logger transportLogger = Logger.getLogger("io.grpc.netty");
    private GroupHost host;
    private long undecodableFrames;
    private long sentBytes;
    private long sentSnapshotBytes;

    /**
     * A link that is not open yet.
     *
     * @param addresses of all processes, this one included
     * @param groupPeers processes of a common group, whose connections always stay open
     */
    public GroupLink(
            EventLoop loop,
            Timers timers,
            String name,
            Map<String, InetSocketAddress> addresses,
            Set<String> groupPeers,
            Consumer<String> log) {
        this.loop = loop;
        this.timers = timers;
        this.name = name;
        this.addresses = Map.copyOf(addresses);
        this.groupPeers = Set.copyOf(groupPeers);
        this.log = log;
        onLoop = task -> {
            if (loop.inEventLoop()) {
                task.run();
            } else {
                loop.execute(task);
            }
        };
        transportLogger.setLevel(Level.SEVERE);
    }

    /**
     * Listens on the member's own address. Must not be called on the loop.
     *
     * @throws IOException if the address can't be bound
     */
    public void listen() throws IOException {
        Server server = NettyServerBuilder.forAddress(addresses.get(name))
                .bossEventLoopGroup(loop)
                .workerEventLoopGroup(loop)
                .channelFactory(() -> new BoundedListener(
                        CONNECTIONS_PER_PEER * groupPeers.size() + addresses.size() + CONNECTIONS_PER_PEER))
                .executor(onLoop)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .addService(new Service())
                .build();
        server.start();
    }

    /**
     * Opens the connections to processes of a common group and delivers received messages to this host. On the loop.
     */
    public void open(GroupHost groupHost) {
        host = groupHost;
        groupPeers.stream().filter(other -> !other.equals(name)).forEach(this::connection);
    }

    private PeerConnection connection(String peer) {
        return connections.computeIfAbsent(
                peer,
                peerName -> new PeerConnection(
                        NettyChannelBuilder.forAddress(addresses.get(peerName))
                                .eventLoopGroup(loop)
                                .channelType(NioSocketChannel.class)
                                .usePlaintext()
                                .executor(onLoop)
                                .offloadExecutor(onLoop)
                                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                                .build(),
                        timers,
                        groupPeers.contains(peerName),
                        () -> newFrame().setPing(1).build(),
                        this::receive,
                        () -> host.down(peerName)));
    }

    private Wire.Frame.Builder newFrame() {
        return Wire.Frame.newBuilder().setSender(name).setSpeaks(GroupMessage.PROTOCOL_VERSION);
    }

    /** Sends to a process without a guarantee of delivery. On the loop. */
    public void send(String group, String receiver, GroupMessage message) {
        if (!receiver.equals(name) && addresses.containsKey(receiver)) {
            connection(receiver).send(countSent(Frames.encode(group, message)));
        }
    }

    private Wire.Frame countSent(Wire.Frame frame) {
        int bytes = frame.getSerializedSize();
        sentBytes += bytes;
        sentSnapshotBytes += frame.hasConsensus() && frame.getConsensus().hasChunk() ? bytes : 0;
        return frame;
    }

    private void receive(Wire.Frame frame) {
        receive(frame, message -> send(frame.getGroup(), frame.getSender(), message));
    }

    private void receive(Wire.Frame frame, Consumer<GroupMessage> replySender) {
        if (host == null) {
            return;
        }
        GroupMessage message;
        try {
            message = Frames.decode(frame);
        } catch (IllegalArgumentException e) {
            // Logs the 1st, 2nd, 4th, 8th and so on, so that a peer can't fill the log.
            if ((++undecodableFrames & undecodableFrames - 1) == 0) {
                log.accept("copies: cannot decode a frame from " + frame.getSender() + ": " + e.getMessage());
            }
            return;
        }
        if (message != null) {
            host.receive(frame.getGroup(), message, replySender);
        }
    }

    private final class Service extends CopiesGrpc.CopiesImplBase {
        @Override
        public StreamObserver<Wire.Frame> talk(StreamObserver<Wire.Frame> responseObserver) {
            ServerCallStreamObserver<Wire.Frame> responses = (ServerCallStreamObserver<Wire.Frame>) responseObserver;
            // Without a cancel handler, onNext throws after the peer has gone.
            responses.setOnCancelHandler(() -> {});
            return new StreamObserver<>() {
                @Override
                public void onNext(Wire.Frame frame) {
                    // Frames to a peer that does not read are dropped; a ping is answered at most
                    // once.
                    if (frame.getWhatCase() == Wire.Frame.WhatCase.PING && responses.isReady()) {
                        responses.onNext(newFrame().setPing(frame.getPing()).build());
                    }
                    receive(frame, message -> {
                        if (responses.isReady() && !responses.isCancelled()) {
                            responses.onNext(countSent(Frames.encode(frame.getGroup(), message)));
                        }
                    });
                }

                @Override
                public void onError(Throwable fault) {
                    // The peer opens another stream.
                }

                @Override
                public void onCompleted() {
                    responses.onCompleted();
                }
            };
        }

        @Override
        public void replace(Wire.ReplaceRequest request, StreamObserver<Wire.ReplaceReply> responseObserver) {
            Seat seat = host == null ? null : host.seat(request.getSeatIn());
            responseObserver.onNext(Wire.ReplaceReply.newBuilder()
                    .setRefused(seat == null ? "it has no seat there" : seat.replace(request.getName()))
                    .build());
            responseObserver.onCompleted();
        }

        @Override
        public void status(Wire.StatusRequest request, StreamObserver<Wire.StatusReply> responseObserver) {
            Wire.StatusReply.Builder builder =
                    Wire.StatusReply.newBuilder().setSaidBytes(sentBytes).setSnapshotBytes(sentSnapshotBytes);
            SortedSet<String> seats = host == null ? new TreeSet<>() : new TreeSet<>(host.groups());
            builder.addAllSeats(seats);
            String group = !request.getSeatIn().isEmpty() || seats.isEmpty() ? request.getSeatIn() : seats.first();
            Seat seat = host == null ? null : host.seat(group);
            builder.setGroup(group);
            if (seat != null && seat.status().id() != null) {
                SeatStatus status = seat.status();
                builder.setId(Messages.encode(status.id()))
                        .setLeads(status.leads())
                        .setVotes(status.votes())
                        .addAllMembers(Messages.encodeAll(status.members()))
                        .setRequests(status.requests())
                        .setTimeMs(status.groupTimeMs());
                if (!request.getRequest().isEmpty()) {
                    builder.setKnown(Commands.encode(seat.member().state().lookUp(request.getRequest())));
                }
            }
            responseObserver.onNext(builder.build());
            responseObserver.onCompleted();
        }
    }
}
