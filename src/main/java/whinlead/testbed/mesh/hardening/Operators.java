package whinlead.testbed.mesh.hardening;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * Operators as the documentation describes them: an order goes to any control node, and after a second of silence or an
 * unclear result to another one, with a growing pause. Answers may be lost. Single-threaded.
 */
final class Operators {
    private static final double SILENCE_MS = 1000;
    private static final double MIN_PAUSE_MS = 50;
    private static final double MAX_PAUSE_MS = 800;
    private static final double MAX_DELAY_MS = 4;
    /** One order in this many goes to a random control node all the same. */
    private static final int OTHER_NODE_PERIOD = 12;

    /** An outstanding order. */
    static final class Order {
        private final Change change;
        private final byte[] body;
        private final double begunAtMs;
        private final double untilMs;
        private final Consumer<Order> then;
        private ConsensusNode.CallResult end;
        private int tries;
        private double pauseMs = MIN_PAUSE_MS;
        private double reachedAtMs = Double.NaN;

        private Order(Change change, byte[] body, double begunAt, double until, Consumer<Order> then) {
            this.change = change;
            this.body = body;
            this.begunAtMs = begunAt;
            this.untilMs = until;
            this.then = then;
        }

        Change change() {
            return change;
        }

        byte[] body() {
            return body;
        }

        double begunAtMs() {
            return begunAtMs;
        }

        /** How it ended; null if no clear answer arrived within its timeout. */
        ConsensusNode.CallResult end() {
            return end;
        }

        /** When it first reached a control node in contact with a majority; NaN if it never did. */
        double reachedAtMs() {
            return reachedAtMs;
        }

        boolean taken() {
            return end == ConsensusNode.CallResult.TAKEN;
        }
    }

    private final Core core;
    private final double lostShare;
    private final byte[] filler;
    private long digests;
    private boolean prefersLast;
    private String lastAnswered;

    /**
     * Creates operators.
     *
     * @param lost share of answers that are lost
     * @param filler bytes that follow the digest in each body
     */
    Operators(Core core, double lost, byte[] filler) {
        this.core = core;
        this.lostShare = lost;
        this.filler = filler;
    }

    /** A new change that builds on a version. */
    Change change(long builtOn) {
        return new Change(builtOn + 1 + core.random().nextInt(3), builtOn, String.format("%016x", ++digests));
    }

    /** Sends an order until it has a clear result or times out, then runs the callback. */
    Order order(Change change, double timeoutMs, Consumer<Order> then) {
        Order order = new Order(change, body(change), core.nowMs(), core.nowMs() + timeoutMs, then);
        attempt(order, firstAddress());
        return order;
    }

    /** The body of a change: its digest and the filler. */
    byte[] body(Change change) {
        byte[] digest = change.digest().getBytes(StandardCharsets.UTF_8);
        byte[] body = Arrays.copyOf(digest, digest.length + filler.length);
        System.arraycopy(filler, 0, body, digest.length, filler.length);
        return body;
    }

    /** From now on most orders go first to the control node that answered last. */
    void preferLast() {
        prefersLast = true;
    }

    private String firstAddress() {
        return prefersLast
                        && lastAnswered != null
                        && core.machineAt(lastAnswered) != null
                        && core.random().nextInt(OTHER_NODE_PERIOD) > 0
                ? lastAnswered
                : core.randomMachine().address();
    }

    /** Repeats an order at one control node; the callback gets the result, or never runs if no answer arrives. */
    void repeat(Order order, String address, Consumer<ConsensusNode.CallResult> then) {
        call(address, order, then, () -> {});
    }

    private void attempt(Order o, String address) {
        if (core.nowMs() >= o.untilMs) {
            o.then.accept(o);
            return;
        }
        int attempt = ++o.tries;
        Runnable next = () -> {
            if (o.tries == attempt && o.end == null) {
                o.tries++;
                core.scheduler().schedule(o.pauseMs, () -> attempt(o, otherAddress(address)));
                o.pauseMs = Math.min(MAX_PAUSE_MS, o.pauseMs * 2);
            }
        };
        core.scheduler().schedule(SILENCE_MS, next);
        call(
                address,
                o,
                verdict -> {
                    if (verdict == ConsensusNode.CallResult.UNCLEAR) {
                        next.run();
                    } else if (o.end == null && o.tries == attempt) {
                        o.end = verdict;
                        lastAnswered = address;
                        if (core.isTraced()) {
                            core.log(o.change + " ends " + verdict + " from " + address);
                        }
                        o.then.accept(o);
                    }
                },
                next);
    }

    private String otherAddress(String previous) {
        String address = previous;
        for (int i = 0; i < 4 && address.equals(previous); i++) {
            address = core.randomMachine().address();
        }
        return address;
    }

    private void call(String address, Order o, Consumer<ConsensusNode.CallResult> then, Runnable closed) {
        core.scheduler().schedule(delayMs(), () -> {
            Machine m = core.machineAt(address);
            if (m == null || !m.up() && !m.isFrozen()) {
                core.scheduler().schedule(delayMs(), closed);
                return;
            }
            m.runOnLoop(() -> {
                if (Double.isNaN(o.reachedAtMs) && m.hasContact()) {
                    o.reachedAtMs = core.nowMs();
                }
                m.replace(o.change, o.body, verdict -> ended(address, o, verdict, then));
            });
        });
    }

    private void ended(
            String address, Order o, ConsensusNode.CallResult verdict, Consumer<ConsensusNode.CallResult> then) {
        if (core.isTraced()) {
            core.log(address + " ends a call of " + o.change + " " + verdict);
        }
        if (core.random().nextDouble() >= lostShare) {
            core.scheduler().schedule(delayMs(), () -> then.accept(verdict));
        }
    }

    /** Reads at one control node; the callback gets null if the node could not answer, and never runs if it is down. */
    void read(String address, Consumer<Decision> then) {
        core.scheduler().schedule(delayMs(), () -> {
            Machine m = core.machineAt(address);
            if (m != null) {
                m.runOnLoop(() -> m.read(d -> core.scheduler().schedule(delayMs(), () -> then.accept(d))));
            }
        });
    }

    private double delayMs() {
        return core.randomBetween(MIN_PAUSE_MS / 100, MAX_DELAY_MS);
    }
}
