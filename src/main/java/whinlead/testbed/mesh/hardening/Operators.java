package whinlead.testbed.mesh.hardening;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * Operators, as the pages describe them: an order goes to any control node, to the next one after a second of silence
 * or an unclear end, with a pause that grows, and its answer may be lost on the way. One thread.
 */
final class Operators {
    private static final double SILENCE = 1000;
    private static final double PAUSE = 50;
    private static final double MAX_PAUSE = 800;
    private static final double MAX_WAY = 4;
    /** One order in so many goes anywhere all the same. */
    private static final int STAYS = 12;

    /** An order on its way. */
    static final class Order {
        private final Change change;
        private final byte[] body;
        private final double begunAt;
        private final double until;
        private final Consumer<Order> then;
        private ConsensusNode.CallResult end;
        private int tries;
        private double pause = PAUSE;
        private double reachedAt = Double.NaN;

        private Order(Change change, byte[] body, double begunAt, double until, Consumer<Order> then) {
            this.change = change;
            this.body = body;
            this.begunAt = begunAt;
            this.until = until;
            this.then = then;
        }

        Change change() {
            return change;
        }

        byte[] body() {
            return body;
        }

        double begunAt() {
            return begunAt;
        }

        /** How it ended; null if no clear answer came in all its time. */
        ConsensusNode.CallResult end() {
            return end;
        }

        /** When it first came to a control node that is in touch with a majority; NaN if it never did. */
        double reachedAt() {
            return reachedAt;
        }

        boolean taken() {
            return end == ConsensusNode.CallResult.TAKEN;
        }
    }

    private final Core core;
    private final double lost;
    private final byte[] filler;
    private long digests;
    private boolean stays;
    private String last;

    /**
     * Operators.
     *
     * @param lost share of answers that don't come
     * @param filler follows the digest in each body
     */
    Operators(Core core, double lost, byte[] filler) {
        this.core = core;
        this.lost = lost;
        this.filler = filler;
    }

    /** A change of its own on top of a version. */
    Change change(long builtOn) {
        return new Change(builtOn + 1 + core.random().nextInt(3), builtOn, String.format("%016x", ++digests));
    }

    /** Sends an order until it has a clear end or its time is up, and tells it then. */
    Order order(Change change, double patience, Consumer<Order> then) {
        Order o = new Order(change, body(change), core.now(), core.now() + patience, then);
        attempt(o, first());
        return o;
    }

    /** A configuration of this digest. */
    byte[] body(Change change) {
        byte[] digest = change.digest().getBytes(StandardCharsets.UTF_8);
        byte[] body = Arrays.copyOf(digest, digest.length + filler.length);
        System.arraycopy(filler, 0, body, digest.length, filler.length);
        return body;
    }

    /** From now on most orders go first to the control node that answered last. */
    void stay() {
        stays = true;
    }

    private String first() {
        return stays && last != null && core.at(last) != null && core.random().nextInt(STAYS) > 0
                ? last
                : core.any().address();
    }

    /** Sends it once more, to one control node, and tells how that ended; never, if no answer comes. */
    void repeat(Order order, String at, Consumer<ConsensusNode.CallResult> then) {
        ask(at, order, then, () -> {});
    }

    private void attempt(Order o, String at) {
        if (core.now() >= o.until) {
            o.then.accept(o);
            return;
        }
        int mine = ++o.tries;
        Runnable next = () -> {
            if (o.tries == mine && o.end == null) {
                o.tries++;
                core.agenda().in(o.pause, () -> attempt(o, another(at)));
                o.pause = Math.min(MAX_PAUSE, o.pause * 2);
            }
        };
        core.agenda().in(SILENCE, next);
        ask(
                at,
                o,
                verdict -> {
                    if (verdict == ConsensusNode.CallResult.UNCLEAR) {
                        next.run();
                    } else if (o.end == null && o.tries == mine) {
                        o.end = verdict;
                        last = at;
                        if (core.traced()) {
                            core.tell(o.change + " ends " + verdict + " from " + at);
                        }
                        o.then.accept(o);
                    }
                },
                next);
    }

    private String another(String than) {
        String at = than;
        for (int i = 0; i < 4 && at.equals(than); i++) {
            at = core.any().address();
        }
        return at;
    }

    private void ask(String at, Order o, Consumer<ConsensusNode.CallResult> then, Runnable closed) {
        core.agenda().in(way(), () -> {
            Machine m = core.at(at);
            if (m == null || !m.up() && !m.waits()) {
                core.agenda().in(way(), closed);
                return;
            }
            m.loop(() -> {
                if (Double.isNaN(o.reachedAt) && m.hasContact()) {
                    o.reachedAt = core.now();
                }
                m.replace(o.change, o.body, verdict -> ended(at, o, verdict, then));
            });
        });
    }

    private void ended(String at, Order o, ConsensusNode.CallResult verdict, Consumer<ConsensusNode.CallResult> then) {
        if (core.traced()) {
            core.tell(at + " ends a call of " + o.change + " " + verdict);
        }
        if (core.random().nextDouble() >= lost) {
            core.agenda().in(way(), () -> then.accept(verdict));
        }
    }

    /** Reads at one control node; null where it could not say, and nothing where it is down. */
    void read(String at, Consumer<Decision> then) {
        core.agenda().in(way(), () -> {
            Machine m = core.at(at);
            if (m != null) {
                m.loop(() -> m.read(d -> core.agenda().in(way(), () -> then.accept(d))));
            }
        });
    }

    private double way() {
        return core.between(PAUSE / 100, MAX_WAY);
    }
}
