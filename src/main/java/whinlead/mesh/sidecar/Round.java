package whinlead.mesh.sidecar;

import whinlead.Contract;
import whinlead.engine.Carrier;
import whinlead.engine.Clock;
import whinlead.engine.Timers;
import whinlead.loop.LoopTimers;
import whinlead.mesh.registry.Directory;
import whinlead.mesh.registry.Listing;
import whinlead.mesh.log.Event;
import whinlead.mesh.wire.Letter;
import whinlead.mesh.wire.Tie;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The ways to the sidecars beside the endpoints: a tie to each that was used, and the requests out on it.
 * Each request is written once at most, on one connection, under a number that this process gives once; what
 * comes back counts for the request of that number and no other. On its loop's thread.
 */
public final class Round {
    private static final Tie.Pace PACE = new Tie.Pace(250, 700, 5000, 250);
    private static final double MICROS = 1000;

    /** Takes requests for the endpoint beside this sidecar. */
    public interface Local {
        /** Delivers it, and tells what became of it once. */
        void deliver(Letter.Parcel parcel, Consumer<Letter> done);

        /** The client of a request that was delivered has left. */
        default void cancel(Letter.Cancel cancel) { }
    }

    /** A request that was sent. */
    public interface Sent extends Carrier.Sending {
        /**
         * Gives it up because its client has left: what has not been written never is, and the other sidecar
         * is told of what was. One that may be repeated is then ended at its endpoint.
         */
        void cancel();
    }

    /** A connection to another sidecar that is kept. */
    public interface Path {
        /** Begins to keep it. */
        void dial();

        /** Where it stands. */
        Tie.State state();

        /** Sends a letter; false if nothing of it was sent. */
        boolean send(Letter letter);

        /** Ends it for good. */
        void close();
    }

    /** Hears of a path. */
    public interface Ear {
        /** It stands otherwise than before. */
        void changed(Tie.State now, Tie.State before);

        /** A letter came. */
        void letter(Letter letter);

        /** Whether something is waited for. */
        boolean waits();

        /** The present time for what is written now, in microseconds of a steady clock. */
        long stamp();
    }

    private final Timers timers;
    private final Executor soon;
    private final String self;
    private final Local local;
    private final BiFunction<String, Ear, Path> paths;
    private final Runnable changed;
    private final Map<String, Way> ways = new HashMap<>();
    private long streams;

    /**
     * Ways of the sidecar whose node this is.
     *
     * @param changed told when a node has come into reach or gone out of it
     */
    Round(EventLoop loop, String self, Local local, Letter hello,
            Function<String, SocketAddress> addresses, Runnable changed) {
        this(new LoopTimers(loop, new Clock()), loop, self, local,
                (node, ear) -> new Tied(loop, node, addresses.apply(node), hello, ear), changed);
    }

    /**
     * Ways by these timers.
     *
     * @param soon runs a task on this thread, after the one that runs
     */
    public Round(Timers timers, Executor soon, String self, Local local, BiFunction<String, Ear, Path> paths,
            Runnable changed) {
        this.timers = timers;
        this.soon = soon;
        this.self = self;
        this.local = local;
        this.paths = paths;
        this.changed = changed;
    }

    /** A path that is a tie. */
    private static final class Tied implements Path, Tie.Owner {
        private final String node;
        private final Ear ear;
        private final Tie tie;

        private Tied(EventLoop loop, String node, SocketAddress address, Letter hello, Ear ear) {
            this.node = node;
            this.ear = ear;
            this.tie = new Tie(loop, address, hello, PACE, this);
        }

        @Override
        public void dial() {
            tie.dial();
        }

        @Override
        public Tie.State state() {
            return tie.state();
        }

        @Override
        public boolean send(Letter letter) {
            return tie.send(letter);
        }

        @Override
        public void close() {
            tie.close();
        }

        @Override
        public void changed(Tie t, Tie.State before) {
            if (before == Tie.State.UP && t.state() != Tie.State.CLOSED) {
                Event.PEER_DOWN.log(node + " " + t.state());
            }
            ear.changed(t.state(), before);
        }

        @Override
        public void letter(Tie t, Letter letter) {
            ear.letter(letter);
        }

        @Override
        public boolean waits() {
            return ear.waits();
        }

        @Override
        public long stamp() {
            return ear.stamp();
        }
    }

    /** One request's way out. */
    static final class Out implements Sent {
        private final Consumer<Letter> done;
        private final boolean repeatable;
        private final BooleanSupplier elsewhere;
        private Runnable forget = () -> { };
        /** Tells the other sidecar that its client has left. */
        private Runnable tellCancelled = () -> { };
        private boolean written;
        private boolean over;

        private Out(Consumer<Letter> done, boolean repeatable, BooleanSupplier elsewhere) {
            this.done = done;
            this.repeatable = repeatable;
            this.elsewhere = elsewhere;
        }

        private void end(Letter letter) {
            if (!over) {
                over = true;
                done.accept(letter);
            }
        }

        // Whether it needn't wait for a silent path: silence ends nothing that runs nowhere else.
        private boolean leavesSilence() {
            return repeatable && (!written || elsewhere.getAsBoolean());
        }

        @Override
        public boolean giveUp() {
            over = true;
            if (!written) {
                forget.run();
            }
            return written;
        }

        @Override
        public void cancel() {
            if (!over && giveUp()) {
                forget.run();
                tellCancelled.run();
            }
        }
    }

    /** A request that waits for its path, and until when its answer is of use. */
    private record Waiting(Letter.Parcel parcel, double until) { }

    private final class Way implements Ear {
        private final Path path;
        private final Map<Long, Out> out = new LinkedHashMap<>();
        /** What waits for the tie's first moments. */
        private final Map<Long, Waiting> waiting = new LinkedHashMap<>();

        private Way(String node) {
            this.path = paths.apply(node, this);
        }

        @Override
        public void changed(Tie.State now, Tie.State before) {
            if (now == Tie.State.UP) {
                List<Waiting> parcels = new ArrayList<>(waiting.values());
                waiting.clear();
                parcels.forEach(this::write);
            } else if (now == Tie.State.SUSPECT) {
                // The answers may still come; but what may run again had better be served elsewhere.
                fail(Letter.Why.BROKEN, true);
            } else if (now == Tie.State.DOWN || now == Tie.State.CLOSED) {
                fail(Letter.Why.BROKEN, false);
            }
            if (now != Tie.State.DIALLING && now != Tie.State.CLOSED) {
                changed.run();
            }
        }

        private void fail(Letter.Why why, boolean silent) {
            for (Map.Entry<Long, Out> e : new ArrayList<>(out.entrySet())) {
                Out o = e.getValue();
                if (!silent || o.leavesSilence()) {
                    out.remove(e.getKey());
                    waiting.remove(e.getKey());
                    o.end(new Letter.Returned(e.getKey(), o.written ? why : Letter.Why.UNREACHED, 0, 0));
                }
            }
        }

        // Its time runs while it waits; once that is up nobody waits for it any more, and it must not run.
        private void write(Waiting w) {
            long stream = w.parcel.stream();
            Out o = out.get(stream);
            if (o == null || o.over) {
                out.remove(stream);
                return;
            }
            double left = w.until - timers.now();
            o.written = left >= 1;
            if (!o.written || !path.send(numbered(stream, w.parcel, (int) Math.round(left), stamp()))) {
                o.written = false;
                out.remove(stream);
                o.end(new Letter.Returned(stream, Letter.Why.UNREACHED, 0, 0));
            }
        }

        @Override
        public boolean waits() {
            return !out.isEmpty();
        }

        @Override
        public long stamp() {
            return (long) (timers.now() * MICROS);
        }

        @Override
        public void letter(Letter letter) {
            long stream = letter instanceof Letter.Delivered d ? d.stream()
                    : letter instanceof Letter.Returned r ? r.stream() : -1;
            Out o = out.remove(stream);
            if (o != null) {
                o.end(letter);
            }
        }
    }

    /** Whether a request for this node can be sent now, or at least is worth a try. */
    boolean reaches(String node) {
        Way way = ways.get(node);
        return node.equals(self) || way == null || way.path.state() == Tie.State.UP
                || way.path.state() == Tie.State.DIALLING && !way.waiting.isEmpty();
    }

    /** Whether it would go out without waiting for a connection. */
    boolean connected(String node) {
        Way way = ways.get(node);
        return node.equals(self) || way != null && way.path.state() == Tie.State.UP;
    }

    private Way way(String node) {
        return ways.computeIfAbsent(node, n -> {
            Way way = new Way(n);
            // Not at once: what it tells must not reach the map while it changes.
            soon.execute(way.path::dial);
            return way;
        });
    }

    /** Ends the ways to nodes that have gone. */
    void keep(Directory directory) {
        for (String node : List.copyOf(ways.keySet())) {
            Listing l = directory.of(node);
            if ((l == null || l.phase() == Listing.Phase.GONE) && ways.get(node).out.isEmpty()) {
                ways.remove(node).path.close();
            }
        }
    }

    /** Sends a request that may go elsewhere whenever it may run again. */
    public Sent send(String node, Letter.Parcel draft, boolean repeatable, Consumer<Letter> done) {
        return send(node, draft, repeatable, () -> true, done);
    }

    /**
     * Sends a request, at most once; {@code done} gets what became of it, once, unless it is given up before.
     *
     * @param draft with any number
     * @param repeatable whether it may run again
     * @param elsewhere whether another endpoint may be asked, so that it needn't wait for a path that is
     *     silent; asked once the path is
     */
    public Sent send(String node, Letter.Parcel draft, boolean repeatable, BooleanSupplier elsewhere,
            Consumer<Letter> done) {
        Out o = new Out(done, repeatable, elsewhere);
        long stream = ++streams;
        Letter.Cancel cancel = new Letter.Cancel(stream, repeatable);
        if (node.equals(self)) {
            o.written = true;
            o.tellCancelled = () -> local.cancel(cancel);
            local.deliver(numbered(stream, draft, draft.leftMs(), Letter.UNSTAMPED), o::end);
            return o;
        }
        Way way = way(node);
        way.out.put(stream, o);
        o.forget = () -> {
            way.out.remove(stream);
            way.waiting.remove(stream);
        };
        o.tellCancelled = () -> way.path.send(cancel);
        Waiting w = new Waiting(numbered(stream, draft, draft.leftMs(), Letter.UNSTAMPED),
                timers.now() + draft.leftMs());
        if (way.path.state() == Tie.State.UP) {
            way.write(w);
        } else if (way.path.state() == Tie.State.SUSPECT) {
            way.out.remove(stream);
            soon.execute(() -> o.end(new Letter.Returned(stream, Letter.Why.UNREACHED, 0, 0)));
        } else {
            way.waiting.put(stream, w);
        }
        return o;
    }

    private static Letter.Parcel numbered(long stream, Letter.Parcel p, int leftMs, long sentAt) {
        return new Letter.Parcel(stream, p.method(), p.uri(), p.headers(), p.body(), leftMs, p.target(),
                p.endpoint(), p.rank(), sentAt);
    }

    /** What the module is told of a letter. */
    public static Contract.Outcome outcome(Letter letter) {
        if (letter instanceof Letter.Delivered d) {
            return d.status() >= 500 ? Contract.Outcome.ERROR : Contract.Outcome.SERVED;
        }
        return switch (((Letter.Returned) letter).why()) {
            case FULL, TURNED_AWAY -> Contract.Outcome.FULL;
            case MOVED, UNREACHED -> Contract.Outcome.CONNECT_FAILED;
            case BROKEN -> Contract.Outcome.RESET;
            case LATE -> Contract.Outcome.TIMED_OUT;
        };
    }
}
