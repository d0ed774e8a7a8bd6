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
 * The way between the processes of a site: gRPC, all of it on the engine's loop ({@code copies.proto}). One line to
 * each process that something is said to, whichever group it is about; those to processes of no common group are only
 * kept up while they are used. It carries and decides nothing. Whoever reaches its address is believed: it belongs on
 * loopback or a trusted network.
 */
public final class GroupLink {
    /** A full batch of entries, or a piece of a snapshot, is far smaller. */
    private static final int MAX_MESSAGE = 8 << 20;
    /** From each member one, and as many while they are opened again, and an operator's. */
    private static final int CONNECTIONS_EACH = 3;

    private final EventLoop loop;
    private final Executor onLoop;
    private final Timers timers;
    private final String name;
    private final Map<String, InetSocketAddress> processes;
    private final Set<String> close;
    private final Consumer<String> log;
    private final Map<String, Line> lines = new HashMap<>();
    // Held, for loggers are forgotten: of each connection that is cut gRPC would log a stack trace.
    private final Logger transport = Logger.getLogger("io.grpc.netty");
    private GroupHost host;
    private long unread;
    private long said;
    private long snapshots;

    /**
     * A link that is yet to be opened.
     *
     * @param processes all addresses, this one's included
     * @param close those of a common group, lines to which are always up
     */
    public GroupLink(
            EventLoop loop,
            Timers timers,
            String name,
            Map<String, InetSocketAddress> processes,
            Set<String> close,
            Consumer<String> log) {
        this.loop = loop;
        this.timers = timers;
        this.name = name;
        this.processes = Map.copyOf(processes);
        this.close = Set.copyOf(close);
        this.log = log;
        onLoop = task -> {
            if (loop.inEventLoop()) {
                task.run();
            } else {
                loop.execute(task);
            }
        };
        transport.setLevel(Level.SEVERE);
    }

    /**
     * Listens at the member's own address. Not to be called on the loop.
     *
     * @throws IOException if it can't
     */
    public void listen() throws IOException {
        Server server = NettyServerBuilder.forAddress(processes.get(name))
                .bossEventLoopGroup(loop)
                .workerEventLoopGroup(loop)
                .channelFactory(() ->
                        new BoundedListener(CONNECTIONS_EACH * close.size() + processes.size() + CONNECTIONS_EACH))
                .executor(onLoop)
                .maxInboundMessageSize(MAX_MESSAGE)
                .addService(new Service())
                .build();
        server.start();
    }

    /** Opens the lines to those of a common group; from now on this host hears what comes. On the loop. */
    public void open(GroupHost own) {
        host = own;
        close.stream().filter(other -> !other.equals(name)).forEach(this::line);
    }

    private Line line(String other) {
        return lines.computeIfAbsent(
                other,
                to -> new Line(
                        NettyChannelBuilder.forAddress(processes.get(to))
                                .eventLoopGroup(loop)
                                .channelType(NioSocketChannel.class)
                                .usePlaintext()
                                .executor(onLoop)
                                .offloadExecutor(onLoop)
                                .maxInboundMessageSize(MAX_MESSAGE)
                                .build(),
                        timers,
                        close.contains(to),
                        () -> frame().setPing(1).build(),
                        this::received,
                        () -> host.down(to)));
    }

    private Wire.Frame.Builder frame() {
        return Wire.Frame.newBuilder().setSender(name).setSpeaks(GroupMessage.SPEAKS);
    }

    /** Sends to a process, or loses it. On the loop. */
    public void send(String group, String to, GroupMessage message) {
        if (!to.equals(name) && processes.containsKey(to)) {
            line(to).send(counted(Frames.of(group, message)));
        }
    }

    private Wire.Frame counted(Wire.Frame frame) {
        int bytes = frame.getSerializedSize();
        said += bytes;
        snapshots += frame.hasConsensus() && frame.getConsensus().hasChunk() ? bytes : 0;
        return frame;
    }

    private void received(Wire.Frame frame) {
        received(frame, message -> send(frame.getGroup(), frame.getSender(), message));
    }

    private void received(Wire.Frame frame, Consumer<GroupMessage> back) {
        if (host == null) {
            return;
        }
        GroupMessage message;
        try {
            message = Frames.message(frame);
        } catch (IllegalArgumentException e) {
            // The 1st, 2nd, 4th, 8th and so on: a peer must not fill the log.
            if ((++unread & unread - 1) == 0) {
                log.accept("copies: not understood, from " + frame.getSender() + ": " + e.getMessage());
            }
            return;
        }
        if (message != null) {
            host.received(frame.getGroup(), message, back);
        }
    }

    private final class Service extends CopiesGrpc.CopiesImplBase {
        @Override
        public StreamObserver<Wire.Frame> talk(StreamObserver<Wire.Frame> back) {
            ServerCallStreamObserver<Wire.Frame> out = (ServerCallStreamObserver<Wire.Frame>) back;
            // Without one, what is said to a process that is gone throws.
            out.setOnCancelHandler(() -> {});
            return new StreamObserver<>() {
                @Override
                public void onNext(Wire.Frame frame) {
                    // One that does not read loses what it is told; and an answer to a ping is owed once
                    // only.
                    if (frame.getWhatCase() == Wire.Frame.WhatCase.PING && out.isReady()) {
                        out.onNext(frame().setPing(frame.getPing()).build());
                    }
                    received(frame, message -> {
                        if (out.isReady() && !out.isCancelled()) {
                            out.onNext(counted(Frames.of(frame.getGroup(), message)));
                        }
                    });
                }

                @Override
                public void onError(Throwable fault) {
                    // The other side opens another.
                }

                @Override
                public void onCompleted() {
                    out.onCompleted();
                }
            };
        }

        @Override
        public void replace(Wire.ReplaceRequest request, StreamObserver<Wire.ReplaceReply> answer) {
            Seat seat = host == null ? null : host.seat(request.getSeatIn());
            answer.onNext(Wire.ReplaceReply.newBuilder()
                    .setRefused(seat == null ? "it has no seat there" : seat.replace(request.getName()))
                    .build());
            answer.onCompleted();
        }

        @Override
        public void status(Wire.StatusRequest request, StreamObserver<Wire.StatusReply> answer) {
            Wire.StatusReply.Builder b =
                    Wire.StatusReply.newBuilder().setSaidBytes(said).setSnapshotBytes(snapshots);
            SortedSet<String> seats = host == null ? new TreeSet<>() : new TreeSet<>(host.groups());
            b.addAllSeats(seats);
            String group = !request.getSeatIn().isEmpty() || seats.isEmpty() ? request.getSeatIn() : seats.first();
            Seat seat = host == null ? null : host.seat(group);
            b.setGroup(group);
            if (seat != null && seat.status().id() != null) {
                SeatStatus now = seat.status();
                b.setId(Messages.of(now.id()))
                        .setLeads(now.leads())
                        .setVotes(now.votes())
                        .addAllMembers(Messages.all(now.members()))
                        .setRequests(now.requests())
                        .setTimeMs(now.time());
                if (!request.getRequest().isEmpty()) {
                    b.setKnown(Commands.of(seat.member().book().look(request.getRequest())));
                }
            }
            answer.onNext(b.build());
            answer.onCompleted();
        }
    }
}
