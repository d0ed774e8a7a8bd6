package whinlead.decide;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;

/** The small random subset of servers that this sidecar uses, and the number of servers that its traffic needs. */
final class Subset {
    // MIN_SIZE: the smallest subset. While all sidecars together open fewer than CONNECTIONS_PER_SERVER connections to
    // a server, the subset may have MIN_ROOMY_SIZE servers, and ROOMY_SIZE_PER_ATTEMPT for each attempt in flight. A
    // wide subset costs handshakes and evidence per server.
    private static final int MIN_SIZE = 3;
    private static final double CONNECTIONS_PER_SERVER = 12;
    private static final double MIN_ROOMY_SIZE = 8;
    private static final double ROOMY_SIZE_PER_ATTEMPT = 2;
    // Weight of a period in the numbers in flight that size the subset, when they rise and when they fall.
    private static final double RISE_WEIGHT = 0.2;
    private static final double FALL_WEIGHT = 0.01;

    private final int sidecars;
    private final double period;
    // In the order that the last choice left, and in rank order.
    Node[] shuffled = new Node[0];
    Node[] ranked = shuffled;
    // Every server that the list shows as up.
    Node[] allUsable = shuffled;
    // Usual number in flight at the subset, current number in flight, and the size chosen for them.
    private double usualInFlight;
    private double inFlight;
    private int size = MIN_SIZE;

    Subset(int sidecars, double periodMs) {
        this.sidecars = sidecars;
        this.period = periodMs;
    }

    void pick(double nowMs, Collection<Node> nodes) {
        allUsable = nodes.stream()
                .filter(n -> n.usable)
                .sorted(Comparator.<Node>comparingLong(n -> n.rank).thenComparing(n -> n.entry.id()))
                .toArray(Node[]::new);
        Arrays.stream(ranked).forEach(n -> n.leftSubsetAtMs = nowMs);
        size = wantedSize();
        ranked = Arrays.copyOf(allUsable, Math.min(allUsable.length, size));
        shuffled = ranked.clone();
        Arrays.stream(ranked).forEach(n -> Controller.recoverWhileUnused(n, (nowMs - n.leftSubsetAtMs) / period));
        updateRelativeSizes();
    }

    // One in this many sidecars uses a given server, if their subsets are of the same size.
    double serversPerSlot() {
        return (double) allUsable.length / ranked.length;
    }

    // The mean drop share; 1 if there is no server.
    double meanDropShare() {
        return Arrays.stream(shuffled).mapToDouble(n -> n.dropShare).average().orElse(1);
    }

    // Each server's size relative to the largest of the subset: by its reports, else by the list.
    void updateRelativeSizes() {
        double largest = Arrays.stream(ranked)
                .mapToDouble(node -> node.entry.size())
                .max()
                .orElse(0);
        double largestCapacity = Arrays.stream(ranked)
                .mapToDouble(node -> node.reported.capacity)
                .max()
                .orElse(0);
        for (Node node : ranked) {
            node.relativeSize = node.reported.capacity > 0
                    ? node.reported.capacity / largestCapacity
                    : largest > 0 ? node.entry.size() / largest : 1;
        }
    }

    // Updates the numbers in flight and returns whether the subset should be picked again for them.
    boolean period() {
        double usualNow =
                Arrays.stream(ranked).mapToDouble(n -> n.usualInFlight).sum();
        int inFlightNow = Arrays.stream(ranked)
                .mapToInt(n -> n.outstanding.countedInFlight())
                .sum();
        usualInFlight += (usualNow - usualInFlight) * (usualNow > usualInFlight ? RISE_WEIGHT : FALL_WEIGHT);
        inFlight += (inFlightNow - inFlight) * (inFlightNow > inFlight ? RISE_WEIGHT : FALL_WEIGHT);
        int wanted = wantedSize();
        return wanted > size || wanted < size - 1;
    }

    // As many servers as the traffic usually has attempts in flight. The current number in flight counts only while
    // there is room for its connections: otherwise an overload would widen every subset, and the wider subsets would
    // prolong it.
    private int wantedSize() {
        double roomPerSidecar = allUsable.length * CONNECTIONS_PER_SERVER / Math.max(1, sidecars);
        double roomySize = Math.min(roomPerSidecar, Math.max(MIN_ROOMY_SIZE, ROOMY_SIZE_PER_ATTEMPT * inFlight));
        return (int) Math.ceil(Math.max(usualInFlight, Math.max(MIN_SIZE, roomySize)));
    }
}
