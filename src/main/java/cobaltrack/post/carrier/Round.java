package cobaltrack.post.carrier;

import cobaltrack.Contract;
import cobaltrack.engine.Carrier;
import cobaltrack.post.directory.Directory;
import cobaltrack.post.directory.Listing;
import cobaltrack.post.log.Event;
import cobaltrack.post.wire.Letter;
import cobaltrack.post.wire.Tie;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The ways to the sidecars beside the endpoints: a tie to each that was used, and the requests out on it. On
 * its loop's thread.
 */
final class Round {
    private static final Tie.Pace PACE = new Tie.Pace(250, 700, 5000, 250);

    /** Takes requests for the endpoint beside this sidecar. */
    interface Local {
        /** Delivers it, and tells what became of it once. */
        void deliver(Letter.Parcel parcel, Consumer<Letter> done);
    }

    private final EventLoop loop;
    private final String self;
    private final Local local;
    private final BiFunction<String, Tie.Owner, Tie> ties;
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
        this.loop = loop;
        this.self = self;
        this.local = local;
        this.ties = (node, owner) -> new Tie(loop, addresses.apply(node), hello, PACE, owner);
        this.changed = changed;
    }

    /** One request's way out. */
    static final class Out implements Carrier.Sending {
        private final Consumer<Letter> done;
        private final boolean repeatable;
        private boolean written;
        private boolean over;

        private Out(Consumer<Letter> done, boolean repeatable) {
            this.done = done;
            this.repeatable = repeatable;
        }

        private void end(Letter letter) {
            if (!over) {
                over = true;
                done.accept(letter);
            }
        }

        @Override
        public boolean giveUp() {
            over = true;
            return written;
        }
    }

    private final class Way implements Tie.Owner {
        private final String node;
        private final Tie tie;
        private final Map<Long, Out> out = new LinkedHashMap<>();
        /** What waits for the tie's first moments. */
        private final Map<Long, Letter.Parcel> waiting = new LinkedHashMap<>();

        private Way(String node) {
            this.node = node;
            this.tie = ties.apply(node, this);
        }

        @Override
        public void changed(Tie t, Tie.State before) {
            if (t.state() == Tie.State.UP) {
                List<Letter.Parcel> parcels = new ArrayList<>(waiting.values());
                waiting.clear();
                parcels.forEach(this::write);
            } else if (t.state() == Tie.State.SUSPECT) {
                // The answers may still come; but what may run again had better be served elsewhere.
                fail(Letter.Why.BROKEN, true);
            } else if (t.state() == Tie.State.DOWN || t.state() == Tie.State.CLOSED) {
                fail(Letter.Why.BROKEN, false);
            }
            if (before == Tie.State.UP && t.state() != Tie.State.CLOSED) {
                Event.PEER_DOWN.log(node + " " + t.state());
            }
            if (t.state() != Tie.State.DIALLING && t.state() != Tie.State.CLOSED) {
                changed.run();
            }
        }

        private void fail(Letter.Why why, boolean onlyRepeatable) {
            for (Map.Entry<Long, Out> e : new ArrayList<>(out.entrySet())) {
                Out o = e.getValue();
                if (!onlyRepeatable || o.repeatable) {
                    out.remove(e.getKey());
                    boolean waited = waiting.remove(e.getKey()) != null;
                    o.end(new Letter.Returned(e.getKey(), waited ? Letter.Why.UNREACHED : why, 0, 0));
                }
            }
        }

        private void write(Letter.Parcel parcel) {
            Out o = out.get(parcel.stream());
            if (o == null || o.over) {
                out.remove(parcel.stream());
                return;
            }
            o.written = true;
            if (!tie.send(parcel)) {
                o.written = false;
                out.remove(parcel.stream());
                o.end(new Letter.Returned(parcel.stream(), Letter.Why.UNREACHED, 0, 0));
            }
        }

        @Override
        public boolean waits() {
            return !out.isEmpty();
        }

        @Override
        public void letter(Tie t, Letter letter) {
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
        return node.equals(self) || way == null || way.tie.up()
                || way.tie.state() == Tie.State.DIALLING && !way.waiting.isEmpty();
    }

    /** Whether it would go out without waiting for a connection. */
    boolean connected(String node) {
        Way way = ways.get(node);
        return node.equals(self) || way != null && way.tie.up();
    }

    private Way way(String node) {
        return ways.computeIfAbsent(node, n -> {
            Way way = new Way(n);
            // Not at once: what it tells must not reach the map while it changes.
            loop.execute(way.tie::dial);
            return way;
        });
    }

    /** Ends the ways to nodes that have gone. */
    void keep(Directory directory) {
        for (String node : List.copyOf(ways.keySet())) {
            Listing l = directory.of(node);
            if ((l == null || l.phase() == Listing.Phase.GONE) && ways.get(node).out.isEmpty()) {
                ways.remove(node).tie.close();
            }
        }
    }

    /** Sends a request. */
    Carrier.Sending send(String node, Letter.Parcel draft, boolean repeatable, Consumer<Letter> done) {
        Out o = new Out(done, repeatable);
        Letter.Parcel parcel = new Letter.Parcel(++streams, draft.method(), draft.uri(), draft.headers(),
                draft.body(), draft.leftMs(), draft.target(), draft.endpoint(), draft.rank());
        if (node.equals(self)) {
            o.written = true;
            local.deliver(parcel, o::end);
            return o;
        }
        Way way = way(node);
        way.out.put(parcel.stream(), o);
        if (way.tie.up()) {
            way.write(parcel);
        } else if (way.tie.state() == Tie.State.SUSPECT) {
            way.out.remove(parcel.stream());
            loop.execute(() -> o.end(new Letter.Returned(parcel.stream(), Letter.Why.UNREACHED, 0, 0)));
        } else {
            way.waiting.put(parcel.stream(), parcel);
        }
        return o;
    }

    /** What the module is told of a letter. */
    static Contract.Outcome outcome(Letter letter) {
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
