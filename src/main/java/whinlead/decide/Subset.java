package whinlead.decide;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;

/** The small random subset of servers that this sidecar uses, and how many it needs for its traffic. */
final class Subset {
    // The least subset. While all sidecars together open fewer than so many connections a server there is
    // room for so many servers, and so many for each attempt out: a wide one costs handshakes and evidence.
    private static final int LEAST = 3;
    private static final double CONNECTIONS = 12;
    private static final double FREE = 8;
    private static final double FREE_PER_HELD = 2;
    // How fast the attempts that size the subset follow a rise, and a fall, in a period.
    private static final double RISE = 0.2;
    private static final double FALL = 0.01;

    private final int sidecars;
    private final double period;
    // In whatever order the last walk left it, and in its order of rank.
    Node[] walked = new Node[0];
    Node[] ranked = walked;
    // Every server that the list calls up.
    Node[] usable = walked;
    // What the subset holds when well; what it does hold; the size for that.
    private double width;
    private double held;
    private int size = LEAST;

    Subset(int sidecars, double period) {
        this.sidecars = sidecars;
        this.period = period;
    }

    void pick(double now, Collection<Node> nodes) {
        usable = nodes.stream()
                .filter(n -> n.usable)
                .sorted(Comparator.<Node>comparingLong(n -> n.rank).thenComparing(n -> n.entry.id()))
                .toArray(Node[]::new);
        Arrays.stream(ranked).forEach(n -> n.leftAt = now);
        size = wanted();
        ranked = Arrays.copyOf(usable, Math.min(usable.length, size));
        walked = ranked.clone();
        Arrays.stream(ranked).forEach(n -> Controller.idle(n, (now - n.leftAt) / period));
        weigh();
    }

    // Of so many sidecars one uses a server, where their subsets are as large as this.
    double spread() {
        return (double) usable.length / ranked.length;
    }

    // The mean percentage, as a share; 1 where there is no server.
    double shut() {
        return Arrays.stream(walked).mapToDouble(n -> n.percentage).average().orElse(1);
    }

    // Each server's size against the largest of the subset: by its reports, else by the list.
    void weigh() {
        double largest =
                Arrays.stream(ranked).mapToDouble(n -> n.entry.size()).max().orElse(0);
        double capacity = Arrays.stream(ranked)
                .mapToDouble(n -> n.reported.capacity)
                .max()
                .orElse(0);
        for (Node n : ranked) {
            n.weight = n.reported.capacity > 0
                    ? n.reported.capacity / capacity
                    : largest > 0 ? n.entry.size() / largest : 1;
        }
    }

    // Follows what is held, and tells whether the subset should be picked anew for it.
    boolean period() {
        double well = Arrays.stream(ranked).mapToDouble(n -> n.wellHeld).sum();
        int holds = Arrays.stream(ranked).mapToInt(n -> n.out.counted()).sum();
        width += (well - width) * (well > width ? RISE : FALL);
        held += (holds - held) * (holds > held ? RISE : FALL);
        int wanted = wanted();
        return wanted > size || wanted < size - 1;
    }

    // As many as the traffic holds when well. What is out counts while there is room for its connections: a
    // jam would widen every subset, and they would keep the jam.
    private int wanted() {
        double room = usable.length * CONNECTIONS / Math.max(1, sidecars);
        double free = Math.min(room, Math.max(FREE, FREE_PER_HELD * held));
        return (int) Math.ceil(Math.max(width, Math.max(LEAST, free)));
    }
}
