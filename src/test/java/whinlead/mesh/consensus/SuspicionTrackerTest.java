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

/** When other voters' opinions make a silent voter removable, and how long they are valid. */
public class SuspicionTrackerTest {
    private static final String OBSERVER = "a";
    private static final String SUSPECT = "s";
    private static final double START_MS = 10_000;

    private double nowMs = START_MS;
    private long nonce;

    private SuspicionTracker tracker(String... voters) {
        SuspicionTracker tracker = new SuspicionTracker(OBSERVER);
        tracker.retain(List.of(voters));
        nowMs = START_MS;
        nonce = 0;
        return tracker;
    }

    private SuspicionTracker.Question dueQuestion(SuspicionTracker tracker, String... silent) {
        return tracker.dueQuestion(nowMs, List.of(silent), () -> ++nonce);
    }

    private void answer(SuspicionTracker tracker, String voter, Reachability reachability) {
        tracker.opinionsReceived(nowMs, voter, nonce, List.of(new Opinion(SUSPECT, reachability)));
    }

    @Test
    public void withThreeVotersTheOtherMustConfirmSilence() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        assertEquals(dueQuestion(tracker, SUSPECT).suspects(), List.of(SUSPECT));
        assertFalse(tracker.isRemovable(nowMs, SUSPECT), "one observer is no majority");
        answer(tracker, "b", Reachability.UNSURE);
        assertFalse(tracker.isRemovable(nowMs, SUSPECT), "UNSURE does not confirm silence");
        answer(tracker, "b", Reachability.SILENT);
        assertTrue(tracker.isRemovable(nowMs, SUSPECT));
    }

    @Test
    public void withFiveVotersAndOneAwayThreeConfirmSilence() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", "c", "away", SUSPECT);
        dueQuestion(tracker, SUSPECT, "away");
        answer(tracker, "b", Reachability.SILENT);
        assertFalse(tracker.isRemovable(nowMs, SUSPECT), "two of five are a minority");
        answer(tracker, "c", Reachability.SILENT);
        assertTrue(tracker.isRemovable(nowMs, SUSPECT));
        assertFalse(tracker.isRemovable(nowMs, "away"), "no opinion on this voter was given");
    }

    @Test
    public void oneVoterInContactRefutesTheMajority() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", "c", "d", SUSPECT);
        dueQuestion(tracker, SUSPECT);
        answer(tracker, "b", Reachability.SILENT);
        answer(tracker, "c", Reachability.SILENT);
        answer(tracker, "d", Reachability.REACHED);
        assertFalse(tracker.isRemovable(nowMs, SUSPECT));
        nowMs += SuspicionTracker.REFUTED_FOR_MS - 1;
        assertNull(dueQuestion(tracker, SUSPECT), "not asked again while the refutation is valid");
        nowMs += 1;
        assertNotNull(dueQuestion(tracker, SUSPECT), "asked again once the refutation has expired");
        answer(tracker, "b", Reachability.SILENT);
        answer(tracker, "c", Reachability.SILENT);
        assertTrue(tracker.isRemovable(nowMs, SUSPECT), "an expired refutation does not count");
    }

    @Test
    public void opinionExpiresRelativeToSendTimeOfQuestion() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        dueQuestion(tracker, SUSPECT);
        nowMs += SuspicionTracker.OPINION_VALID_MS - 1;
        answer(tracker, "b", Reachability.SILENT);
        assertTrue(tracker.isRemovable(nowMs, SUSPECT));
        nowMs += 1;
        assertFalse(
                tracker.isRemovable(nowMs, SUSPECT), "it expires by the send time of its question, not by its arrival");
        answer(tracker, "b", Reachability.SILENT);
        assertFalse(tracker.isRemovable(nowMs, SUSPECT), "a late answer does not count");
    }

    @Test
    public void onlyVotersAnswersToKnownQuestionsCount() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        dueQuestion(tracker, SUSPECT);
        answer(tracker, "learner", Reachability.SILENT);
        answer(tracker, SUSPECT, Reachability.SILENT);
        tracker.opinionsReceived(nowMs, "b", nonce + 1, List.of(new Opinion(SUSPECT, Reachability.SILENT)));
        assertFalse(tracker.isRemovable(nowMs, SUSPECT));
    }

    @Test
    public void questionsAreSpacedAndOpinionsRenewedBeforeExpiry() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        assertNull(dueQuestion(tracker), "nobody is silent");
        dueQuestion(tracker, SUSPECT);
        nowMs += SuspicionTracker.ASK_INTERVAL_MS - 1;
        assertNull(dueQuestion(tracker, SUSPECT));
        nowMs += 1;
        assertNotNull(dueQuestion(tracker, SUSPECT), "asked again without an answer");
        answer(tracker, "b", Reachability.SILENT);
        nowMs += SuspicionTracker.RENEW_AFTER_MS - 1;
        assertNull(dueQuestion(tracker, SUSPECT), "confirmed opinions are renewed less often");
        nowMs += 1;
        assertNotNull(dueQuestion(tracker, SUSPECT));
        assertTrue(tracker.isRemovable(nowMs, SUSPECT), "the older opinion is valid until the answer");
    }

    @Test
    public void opinionOfFormerVoterIsDropped() {
        SuspicionTracker tracker = tracker(OBSERVER, "b", SUSPECT);
        dueQuestion(tracker, SUSPECT);
        answer(tracker, "b", Reachability.SILENT);
        tracker.retain(List.of(OBSERVER, "c", SUSPECT));
        assertFalse(tracker.isRemovable(nowMs, SUSPECT));
        tracker.retain(List.of("b", "c", SUSPECT));
        assertFalse(tracker.isRemovable(nowMs, SUSPECT), "an observer without a vote can't remove a voter");
    }
}
