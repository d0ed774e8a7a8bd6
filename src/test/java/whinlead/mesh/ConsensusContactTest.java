package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;

/** Contact with a majority, and what a control node without it says; calls that are sent again. */
public class ConsensusContactTest {
    private static final double WITHIN = 1000;

    @Test
    public void whatArrivesLateIsNoContact() {
        ConsensusNodes c = new ConsensusNodes();
        ConsensusNode a = c.all.get("a#0");
        assertTrue(a.isInContactWithQuorum(c.now, WITHIN));
        double cutAt = c.now;
        c.cutOff.add("a#0");
        c.now += 20_000;
        // Held back for twenty seconds: what the others asked, and answers to questions of before the cut.
        a.messageReceived(c.now, "b#0", new Message.Query(1, 0));
        a.messageReceived(c.now, "c#0", new Message.Query(1, 0));
        a.pongReceived(cutAt, "b#0", 0);
        a.pongReceived(cutAt, "c#0", 0);
        assertFalse(a.isInContactWithQuorum(c.now, WITHIN));
        a.pongReceived(c.now - 5, "b#0", 0);
        assertTrue(a.isInContactWithQuorum(c.now, WITHIN));
    }

    @Test
    public void contactWithOneThatKnowsMoreConfirmsNothing() {
        ConsensusNodes c = new ConsensusNodes();
        ConsensusNode a = c.all.get("a#0");
        a.pongReceived(c.now, "b#0", 1);
        assertFalse(a.isInContactWithQuorum(c.now, WITHIN));
    }

    @Test
    public void aControlNodeThatIsCutOffSaysAtOnceThatItCannotTell() {
        ConsensusNodes c = new ConsensusNodes();
        c.cutOff.add("a#0");
        c.pass(2000);
        c.verdicts.clear();
        c.all.get("a#0").replace(c.now, 1, 5, 0, "digest", new byte[] {1});
        c.all.get("a#0").read(c.now, 2);
        assertEquals(c.verdicts.size(), 2, "told in the same moment");
        assertTrue(c.verdicts.stream().allMatch(v -> v == ConsensusNode.CallResult.UNCLEAR));
        assertEquals(c.replace("b#0", 5, 0, "digest"), ConsensusNode.CallResult.TAKEN, "any other takes it");
        c.cutOff.clear();
        c.pass(1000);
        assertEquals(c.all.get("a#0").decided().version(), 5L);
        assertEquals(c.replace("a#0", 5, 0, "digest"), ConsensusNode.CallResult.TAKEN);
    }

    @Test
    public void eightOrdersUnderWayAtACutControlNodeAreAllToldSoon() {
        ConsensusNodes c = new ConsensusNodes();
        c.cutOff.add("a#0");
        for (int i = 0; i < 8; i++) {
            c.all.get("a#0").replace(c.now, i, 5 + i, 0, "digest" + i, new byte[] {1});
        }
        double from = c.now;
        while (c.verdicts.size() < 8 && c.now - from < 5000) {
            c.pass(25);
        }
        assertTrue(c.now - from < 2000, "after " + (c.now - from) + " ms");
    }

    @Test
    public void ofTwoChangesUnderOneNumberOneIsTakenAndItsRepeatsAtAnyControlNode() {
        ConsensusNodes c = new ConsensusNodes();
        assertEquals(c.replace("a#0", 5, 0, "mine"), ConsensusNode.CallResult.TAKEN);
        assertEquals(c.replace("b#0", 5, 0, "yours"), ConsensusNode.CallResult.MISMATCH);
        for (String controlNode : ConsensusNodes.FOUNDERS) {
            assertEquals(c.replace(controlNode, 5, 0, "mine"), ConsensusNode.CallResult.TAKEN);
            assertEquals(c.replace(controlNode, 5, 0, "yours"), ConsensusNode.CallResult.MISMATCH);
        }
    }

    @Test
    public void noLifeOfAControlNodeCallsABallotOfAnEarlierOne() {
        // Its own promise was not on disk when it went; what it had called may still be on its way.
        Set<Ballot> ballots = new HashSet<>();
        for (int life = 0; life < 3; life++) {
            Acceptor.State founding = new Acceptor.State(Decision.founding(ConsensusNodes.FOUNDERS), Ballot.NONE, null);
            ConsensusNode c = new ConsensusNode("a#0", founding, life, new ConsensusNode.Actions() {
                @Override
                public void send(String to, Message message) {
                    if (message instanceof Message.Prepare p) {
                        ballots.add(p.ballot());
                    }
                }

                @Override
                public void sync(Acceptor.State memory, String to, Message message) {}

                @Override
                public void replaceCompleted(long call, ConsensusNode.CallResult verdict) {}

                @Override
                public void readCompleted(long call, Decision newest) {}

                @Override
                public void decisionLearned(Decision decision) {}
            });
            ConsensusNodes.FOUNDERS.forEach(other -> c.pongReceived(0, other, 0));
            c.replace(0, 1, 5, 0, "digest", new byte[] {1});
        }
        assertEquals(ballots.size(), 3);
    }

    @Test
    public void aRepeatAfterHundredsOfChangesIsTakenOrUnclearNeverRefused() {
        ConsensusNodes c = new ConsensusNodes();
        for (int v = 1; v <= 300; v++) {
            assertEquals(c.replace("a#0", v, v - 1, "d" + v), ConsensusNode.CallResult.TAKEN);
        }
        for (int v = 1; v <= 300; v++) {
            ConsensusNode.CallResult verdict = c.replace("b#0", v, v - 1, "d" + v);
            assertEquals(
                    verdict,
                    v > 300 - Decision.MAX_APPLIED_VERSIONS
                            ? ConsensusNode.CallResult.TAKEN
                            : ConsensusNode.CallResult.UNCLEAR,
                    "version " + v);
        }
        assertEquals(c.replace("b#0", 299, 298, "other"), ConsensusNode.CallResult.MISMATCH);
    }
}
