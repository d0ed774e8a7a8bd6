package whinlead.mesh.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Message.Opinion;
import whinlead.mesh.consensus.Message.Reachability;

/** When other voters' opinions make a silent voter removable, and for how long they count. */
public class SuspicionTrackerTest {
    private static final String OBSERVER = "a";
    private static final String SUSPECT = "s";
    private static final double START = 10_000;

    private double now = START;
    private long nonce;

    private SuspicionTracker tracker(String... voters) {
        SuspicionTracker tracker = new SuspicionTracker(OBSERVER);
        tracker.retain(List.of(voters));
        now = START;
        nonce = 0;
        return tracker;
    }

    private SuspicionTracker.Question due(SuspicionTracker tracker, String... silent) {
        return tracker.due(now, List.of(silent), () -> ++nonce);
    }

    private void says(SuspicionTracker tracker, String voter, Reachability reachability) {
        tracker.answered(now, voter, nonce, List.of(new Opinion(SUSPECT, reachability)));
    }

    @Test
    public void ofThreeVotersBothOthersMustAgree() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        assertEquals(due(tracker, SUSPECT).suspects(), List.of(SUSPECT));
        assertFalse(tracker.removable(now, SUSPECT), "on one observer's word");
        says(tracker, "b", Reachability.UNSURE);
        assertFalse(tracker.removable(now, SUSPECT), "unsure is no agreement");
        says(tracker, "b", Reachability.SILENT);
        assertTrue(tracker.removable(now, SUSPECT));
    }

    @Test
    public void ofFiveVotersWithAnotherAwayTheThreeThatAreLeftRemove() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", "c", "away", SUSPECT);
        due(tracker, SUSPECT, "away");
        says(tracker, "b", Reachability.SILENT);
        assertFalse(tracker.removable(now, SUSPECT), "two of five are a minority");
        says(tracker, "c", Reachability.SILENT);
        assertTrue(tracker.removable(now, SUSPECT));
        assertFalse(tracker.removable(now, "away"), "nobody spoke of that one");
    }

    @Test
    public void oneThatReachesTheSuspectRefutesWhateverTheMajoritySays() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", "c", "d", SUSPECT);
        due(tracker, SUSPECT);
        says(tracker, "b", Reachability.SILENT);
        says(tracker, "c", Reachability.SILENT);
        says(tracker, "d", Reachability.REACHED);
        assertFalse(tracker.removable(now, SUSPECT));
        now += SuspicionTracker.REFUTED_FOR - 1;
        assertNull(due(tracker, SUSPECT), "not asked again for a while");
        now += 1;
        assertNotNull(due(tracker, SUSPECT), "asked again after it");
        says(tracker, "b", Reachability.SILENT);
        says(tracker, "c", Reachability.SILENT);
        assertTrue(tracker.removable(now, SUSPECT), "an old refutation counts no more");
    }

    @Test
    public void anOpinionCountsFromWhenItsQuestionLeft() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        due(tracker, SUSPECT);
        now += SuspicionTracker.OPINION_VALID - 1;
        says(tracker, "b", Reachability.SILENT);
        assertTrue(tracker.removable(now, SUSPECT));
        now += 1;
        assertFalse(tracker.removable(now, SUSPECT), "it has lapsed, whenever it arrived");
        says(tracker, "b", Reachability.SILENT);
        assertFalse(tracker.removable(now, SUSPECT), "nor does a late answer count");
    }

    @Test
    public void onlyAnswersOfVotersToQuestionsThatWereAskedCount() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        due(tracker, SUSPECT);
        says(tracker, "learner", Reachability.SILENT);
        says(tracker, SUSPECT, Reachability.SILENT);
        tracker.answered(now, "b", nonce + 1, List.of(new Opinion(SUSPECT, Reachability.SILENT)));
        assertFalse(tracker.removable(now, SUSPECT));
    }

    @Test
    public void aNewQuestionWaitsAndOpinionsAreRenewedBeforeTheyLapse() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        assertNull(due(tracker), "nobody is silent");
        due(tracker, SUSPECT);
        now += SuspicionTracker.ASK_AGAIN - 1;
        assertNull(due(tracker, SUSPECT));
        now += 1;
        assertNotNull(due(tracker, SUSPECT), "no answer came");
        says(tracker, "b", Reachability.SILENT);
        now += SuspicionTracker.RENEW_AFTER - 1;
        assertNull(due(tracker, SUSPECT), "confirmed, and asked less often");
        now += 1;
        assertNotNull(due(tracker, SUSPECT));
        assertTrue(tracker.removable(now, SUSPECT), "the older opinion holds until the answer");
    }

    @Test
    public void aWordOfOneThatIsNoVoterAnyMoreIsDropped() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        due(tracker, SUSPECT);
        says(tracker, "b", Reachability.SILENT);
        tracker.retain(List.of(OBSERVER, "c", SUSPECT));
        assertFalse(tracker.removable(now, SUSPECT));
        tracker.retain(List.of("b", "c", SUSPECT));
        assertFalse(tracker.removable(now, SUSPECT), "an observer without a vote removes nobody");
    }
}
