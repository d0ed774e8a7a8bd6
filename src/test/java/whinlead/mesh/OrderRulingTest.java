package whinlead.mesh;

import static org.testng.Assert.assertEquals;

import java.util.EnumSet;
import java.util.Set;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.ReplaceVerdict;

/** Every order, by its version, the version that it builds on and its content, against a full memory. */
public class OrderRulingTest {
    private static final int CURRENT = Decision.MAX_APPLIED_VERSIONS + 20;
    private static final int OLDEST_REMEMBERED = CURRENT - Decision.MAX_APPLIED_VERSIONS + 1;
    private static final Set<ReplaceVerdict> REFUSED =
            EnumSet.of(ReplaceVerdict.VERSION_MISMATCH, ReplaceVerdict.OLD_VERSION);

    private static Decision newest() {
        Decision decision = Decision.founding(ConsensusNodes.FOUNDERS);
        for (int version = 1; version <= CURRENT; version++) {
            decision = decision.successor(version, "taken " + version, new byte[] {1});
        }
        return decision;
    }

    @Test
    public void aRepeatIsTakenOrUnclearNeverRefused() {
        Decision newest = newest();
        for (int version = 1; version <= CURRENT; version++) {
            assertEquals(
                    ReplaceVerdict.evaluate(newest, version, version - 1, "taken " + version),
                    version < OLDEST_REMEMBERED ? ReplaceVerdict.OUTCOME_UNKNOWN : ReplaceVerdict.ALREADY_APPLIED,
                    "of " + version);
        }
    }

    @Test
    public void whatWasNeverTakenIsRefusedWhereverThatIsCertain() {
        Decision newest = newest();
        for (int version = 0; version <= CURRENT + 2; version++) {
            for (int builtOn = 0; builtOn <= CURRENT + 2; builtOn++) {
                ReplaceVerdict ruling = ReplaceVerdict.evaluate(newest, version, builtOn, "other");
                String order = version + " on " + builtOn;
                if (builtOn == CURRENT && version > CURRENT) {
                    assertEquals(ruling, ReplaceVerdict.APPLICABLE, order);
                } else if (version < OLDEST_REMEMBERED && version > builtOn) {
                    assertEquals(ruling, ReplaceVerdict.OUTCOME_UNKNOWN, order);
                } else {
                    assertEquals(REFUSED.contains(ruling), true, order + ": " + ruling);
                    assertEquals(ruling == ReplaceVerdict.OLD_VERSION, builtOn == CURRENT, order);
                }
            }
        }
    }
}
