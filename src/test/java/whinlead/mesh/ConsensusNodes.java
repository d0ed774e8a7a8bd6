package whinlead.mesh;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;

/** Real consensus nodes that hear and answer each other at once, but for those that a test cuts off. */
final class ConsensusNodes {
    static final List<String> FOUNDERS = List.of("a#0", "b#0", "c#0");
    private static final double TICK = 25;

    final List<ConsensusNode.CallResult> verdicts = new ArrayList<>();
    final Map<String, ConsensusNode> all = new LinkedHashMap<>();
    /** By slot, what any of them has learned. */
    final TreeMap<Long, Decision> decisions = new TreeMap<>();
    /** Messages that are lost. */
    Predicate<Message> lost = message -> false;
    /** Control nodes that no packet reaches or leaves. */
    final Set<String> cutOff = new HashSet<>();
    /** Control nodes whose packets arrive, and that nothing reaches. */
    final Set<String> deaf = new HashSet<>();
    /** Control nodes that can't reach each other, by {@link #pair}, whatever else they reach. */
    final Set<Set<String>> cutPairs = new HashSet<>();

    double now;
    private final ArrayDeque<Runnable> mail = new ArrayDeque<>();
    private final Map<String, Boolean> stalled = new HashMap<>();

    ConsensusNodes() {
        this(FOUNDERS);
    }

    ConsensusNodes(List<String> founders) {
        founders.forEach(id -> start(id, Decision.founding(founders)));
        pass(1000);
    }

    ConsensusNode start(String id, Decision known) {
        ConsensusNode consensusNode =
                new ConsensusNode(id, new Acceptor.State(known, Ballot.NONE, null), id.hashCode(), new Driver(id));
        all.put(id, consensusNode);
        return consensusNode;
    }

    /** Two control nodes, in either order. */
    static Set<String> pair(String one, String other) {
        return new HashSet<>(List.of(one, other));
    }

    /** What this one writes to its disk is not there until it is let. */
    void stall(String id) {
        stalled.put(id, true);
    }

    private final class Driver implements ConsensusNode.Actions {
        private final String id;

        private Driver(String id) {
            this.id = id;
        }

        @Override
        public void send(String to, Message message) {
            all.forEach((name, c) -> {
                boolean open = name.equals(id)
                        || !cutOff.contains(id)
                                && !cutOff.contains(name)
                                && !deaf.contains(name)
                                && !cutPairs.contains(pair(id, name));
                if ((to == null && !name.equals(id) || name.equals(to)) && open && !lost.test(message)) {
                    mail.add(() -> c.messageReceived(now, id, message));
                }
            });
        }

        @Override
        public void sync(Acceptor.State memory, String to, Message message) {
            if (!stalled.containsKey(id)) {
                send(to, message);
            }
        }

        @Override
        public void replaceCompleted(long call, ConsensusNode.CallResult verdict) {
            verdicts.add(verdict);
        }

        @Override
        public void readCompleted(long call, Decision newest) {
            verdicts.add(newest == null ? ConsensusNode.CallResult.UNCLEAR : ConsensusNode.CallResult.TAKEN);
        }

        @Override
        public void decisionLearned(Decision decision) {
            decisions.put(decision.slot(), decision);
            mail.add(() -> {
                if (!stalled.containsKey(id) && all.containsKey(id)) {
                    all.get(id).decisionStored(now, decision.slot());
                }
            });
        }
    }

    /** All that is on its way arrives, and what that causes. */
    void deliver() {
        while (!mail.isEmpty()) {
            mail.poll().run();
        }
    }

    /** Time passes; all that are not cut off answer each other's questions. */
    void pass(double millis) {
        for (double end = now + millis; now < end; now += TICK) {
            all.forEach((id, c) -> all.forEach((other, o) -> {
                boolean way = !cutOff.contains(id) && !cutOff.contains(other) && !cutPairs.contains(pair(id, other));
                if (way && !deaf.contains(id) && !deaf.contains(other)) {
                    c.pongReceived(now, other, o.storedSlot());
                }
            }));
            all.values().forEach(c -> c.tick(now));
            deliver();
        }
    }

    List<String> voters() {
        return all.values().iterator().next().decided().voters();
    }

    /** The verdict on a change that one control node is sent. */
    ConsensusNode.CallResult replace(String controlNode, long version, long builtOn, String digest) {
        verdicts.clear();
        all.get(controlNode).replace(now, 1, version, builtOn, digest, new byte[] {1});
        deliver();
        if (verdicts.isEmpty()) {
            pass(1000);
        }
        return verdicts.isEmpty() ? null : verdicts.get(0);
    }
}
