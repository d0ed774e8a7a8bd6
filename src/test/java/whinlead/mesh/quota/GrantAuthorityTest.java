package whinlead.mesh.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** The parts of the limits that control nodes may grant, while voters come and go. */
public class GrantAuthorityTest {
    private static final int ALL = 7;
    private static final int STEPS = 4000;
    private static final double STEP_MS = 20;

    @Test
    public void theFoundersGrantAtOnceAndAnEqualPartEach() {
        GrantAuthority founder = new GrantAuthority(0, 0, 3, true, true);
        assertEquals(founder.capacity(0, true), 1.0 / 3);
        assertEquals(founder.capacity(0, false), 0.0);
    }

    @Test
    public void oneThatGetsAVoteWaitsUntilWhatWasGrantedBeforeHasEnded() {
        GrantAuthority joins = new GrantAuthority(0, 4, 3, false, false);
        joins.decided(1000, 5, 4, true);
        assertEquals(joins.capacity(1000 + LeaseTerms.SETTLED_MS - 1, true), 0.0);
        assertEquals(joins.capacity(1000 + LeaseTerms.SETTLED_MS, true), 1.0 / 4);
    }

    @Test
    public void oneThatMayHaveMissedItsRemovalWaitsAsWell() {
        GrantAuthority behind = new GrantAuthority(0, 0, 3, true, true);
        behind.decided(20_000, 5, 3, true);
        assertEquals(behind.capacity(20_001, true), 0.0);
        assertEquals(behind.capacity(20_000 + LeaseTerms.SETTLED_MS, true), 1.0 / 3);
    }

    @Test
    public void withFewerVotersTheOldPartHoldsUntilOthersGrantsHaveEnded() {
        GrantAuthority stays = new GrantAuthority(0, 0, 4, true, true);
        stays.decided(10_000, 1, 3, true);
        assertEquals(stays.capacity(10_001, true), 1.0 / 4);
        assertEquals(stays.capacity(10_000 + LeaseTerms.SETTLED_MS, true), 1.0 / 3);
    }

    /** One control node, and the leases that it has given: what they add up to is {@code part} until then. */
    private static final class Node {
        private final GrantAuthority authority;
        private final List<double[]> leases = new ArrayList<>();
        private boolean isVoter;
        private long knownSlot;

        private Node(boolean isVoter) {
            this.isVoter = isVoter;
            this.authority = new GrantAuthority(0, 0, 3, isVoter, true);
        }

        private double leased(double now) {
            leases.removeIf(lease -> lease[0] <= now);
            return leases.stream().mapToDouble(lease -> lease[1]).max().orElse(0);
        }
    }

    /**
     * Voters come and go by decisions that some nodes learn of late; who has not is confirmed by no quorum for long.
     */
    @Test
    public void whatAllHaveGrantedNeverAddsUpToMoreThanTheLimit() {
        for (long seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            List<Node> nodes = new ArrayList<>();
            for (int i = 0; i < ALL; i++) {
                nodes.add(new Node(i < 3));
            }
            boolean[] votes = {true, true, true, false, false, false, false};
            long slot = 0;
            double decidedAt = 0;
            for (int step = 0; step < STEPS; step++) {
                double now = step * STEP_MS;
                if (random.nextInt(200) == 0) {
                    int changed = random.nextInt(ALL);
                    votes[changed] = !votes[changed];
                    if (count(votes) >= 3 && count(votes) <= 5) {
                        slot++;
                        decidedAt = now;
                    } else {
                        votes[changed] = !votes[changed];
                    }
                }
                double sum = 0;
                for (int i = 0; i < ALL; i++) {
                    Node node = nodes.get(i);
                    // For a while after a decision, what a quorum answered may still confirm the one before.
                    boolean lately = node.knownSlot == slot - 1 && now - decidedAt < LeaseTerms.CONFIRMED_MS;
                    boolean confirmed = node.knownSlot == slot || lately;
                    if (node.knownSlot < slot && random.nextInt(40) == 0) {
                        node.authority.decided(now, slot, count(votes), votes[i]);
                        node.knownSlot = slot;
                    }
                    double part = node.authority.capacity(now, confirmed);
                    if (part > 0) {
                        node.leases.add(new double[] {now + LeaseTerms.COUNTED_MS, part});
                    }
                    sum += node.leased(now);
                }
                assertTrue(sum <= 1 + 1e-9, sum + " of the limit, seed " + seed + ", step " + step);
            }
        }
    }

    private static int count(boolean[] votes) {
        int count = 0;
        for (boolean vote : votes) {
            count += vote ? 1 : 0;
        }
        return count;
    }
}
