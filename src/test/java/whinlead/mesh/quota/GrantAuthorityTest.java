package whinlead.mesh.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** The fractions of the limits that control nodes may grant while voters change. */
public class GrantAuthorityTest {
    private static final int NODE_COUNT = 7;
    private static final int STEPS = 4000;
    private static final double STEP_MS = 20;

    @Test
    public void foundersGrantEqualPartsWithoutWaiting() {
        GrantAuthority founder = new GrantAuthority(0, 0, 3, true, true);
        assertEquals(founder.capacity(0, true), 1.0 / 3);
        assertEquals(founder.capacity(0, false), 0.0);
    }

    @Test
    public void newVoterGrantsNothingUntilEarlierLeasesHaveEnded() {
        GrantAuthority joiningNode = new GrantAuthority(0, 4, 3, false, false);
        joiningNode.applyDecision(1000, 5, 4, true);
        assertEquals(joiningNode.capacity(1000 + LeaseTerms.SETTLED_MS - 1, true), 0.0);
        assertEquals(joiningNode.capacity(1000 + LeaseTerms.SETTLED_MS, true), 1.0 / 4);
    }

    @Test
    public void voterThatMayHaveMissedItsRemovalGrantsNothingUntilEarlierLeasesHaveEnded() {
        GrantAuthority laggingNode = new GrantAuthority(0, 0, 3, true, true);
        laggingNode.applyDecision(20_000, 5, 3, true);
        assertEquals(laggingNode.capacity(20_001, true), 0.0);
        assertEquals(laggingNode.capacity(20_000 + LeaseTerms.SETTLED_MS, true), 1.0 / 3);
    }

    @Test
    public void withFewerVotersCapacityGrowsOnlyAfterEarlierLeasesHaveEnded() {
        GrantAuthority remainingNode = new GrantAuthority(0, 0, 4, true, true);
        remainingNode.applyDecision(10_000, 1, 3, true);
        assertEquals(remainingNode.capacity(10_001, true), 1.0 / 4);
        assertEquals(remainingNode.capacity(10_000 + LeaseTerms.SETTLED_MS, true), 1.0 / 3);
    }

    /**
     * One control node and the leases that it has granted, each as its end in milliseconds and the fraction granted.
     */
    private static final class Node {
        private final GrantAuthority authority;
        private final List<double[]> leases = new ArrayList<>();
        private boolean isVoter;
        private long knownSlot;

        private Node(boolean isVoter) {
            this.isVoter = isVoter;
            this.authority = new GrantAuthority(0, 0, 3, isVoter, true);
        }

        private double leased(double nowMs) {
            leases.removeIf(lease -> lease[0] <= nowMs);
            return leases.stream().mapToDouble(lease -> lease[1]).max().orElse(0);
        }
    }

    /**
     * Voters change by decisions that some nodes learn of late; a node that has not learned of a decision is confirmed
     * by a quorum only for a short time.
     */
    @Test
    public void grantsOfAllNodesNeverExceedTheLimit() {
        for (long seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            List<Node> nodes = new ArrayList<>();
            for (int i = 0; i < NODE_COUNT; i++) {
                nodes.add(new Node(i < 3));
            }
            boolean[] votes = {true, true, true, false, false, false, false};
            long slot = 0;
            double decidedAtMs = 0;
            for (int step = 0; step < STEPS; step++) {
                double nowMs = step * STEP_MS;
                if (random.nextInt(200) == 0) {
                    int changedNode = random.nextInt(NODE_COUNT);
                    votes[changedNode] = !votes[changedNode];
                    if (countTrue(votes) >= 3 && countTrue(votes) <= 5) {
                        slot++;
                        decidedAtMs = nowMs;
                    } else {
                        votes[changedNode] = !votes[changedNode];
                    }
                }
                double sum = 0;
                for (int i = 0; i < NODE_COUNT; i++) {
                    Node node = nodes.get(i);
                    // For a while after a decision, answers from the quorum may still confirm the previous one.
                    boolean isPreviousStillConfirmed =
                            node.knownSlot == slot - 1 && nowMs - decidedAtMs < LeaseTerms.CONFIRMED_MS;
                    boolean confirmed = node.knownSlot == slot || isPreviousStillConfirmed;
                    if (node.knownSlot < slot && random.nextInt(40) == 0) {
                        node.authority.applyDecision(nowMs, slot, countTrue(votes), votes[i]);
                        node.knownSlot = slot;
                    }
                    double grantedFraction = node.authority.capacity(nowMs, confirmed);
                    if (grantedFraction > 0) {
                        node.leases.add(new double[] {nowMs + LeaseTerms.COUNTED_MS, grantedFraction});
                    }
                    sum += node.leased(nowMs);
                }
                assertTrue(sum <= 1 + 1e-9, sum + " of the limit, seed " + seed + ", step " + step);
            }
        }
    }

    private static int countTrue(boolean[] votes) {
        int count = 0;
        for (boolean vote : votes) {
            count += vote ? 1 : 0;
        }
        return count;
    }
}
