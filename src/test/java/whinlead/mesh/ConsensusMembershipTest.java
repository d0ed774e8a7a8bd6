package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;

/** Who gets a vote, and when; how one goes out. */
public class ConsensusMembershipTest {
    @Test
    public void aNewcomerWaitsWhileOneIsQuietAndTakesTheSeatOfOneThatIsSilent() {
        ConsensusNodes c = new ConsensusNodes();
        c.all.remove("c#0");
        c.pass(1200);
        c.start("d#1", null);
        c.pass(800);
        assertEquals(c.voters(), ConsensusNodes.FOUNDERS, "a vote beside a dead one leaves no room for a loss");
        c.pass(1200);
        assertEquals(c.voters(), List.of("a#0", "b#0", "d#1"));
    }

    @Test
    public void aNewDiskAtAnOldAddressTakesThatSeatAtOnce() {
        ConsensusNodes c = new ConsensusNodes();
        c.all.remove("b#0");
        c.start("b#9", null);
        c.pass(600);
        assertEquals(c.voters(), List.of("a#0", "b#9", "c#0"));
    }

    @Test
    public void oneMoreIsAddedWhereAllAreThereAndAnEvenNumberDropsOneThatIsSilent() {
        ConsensusNodes c = new ConsensusNodes();
        c.start("d#1", null);
        c.pass(600);
        assertEquals(c.voters(), List.of("a#0", "b#0", "c#0", "d#1"));
        c.all.remove("b#0");
        c.pass(3500);
        assertEquals(c.voters(), List.of("a#0", "c#0", "d#1"));
    }

    @Test
    public void aBallotWaitsForNoTimerBetweenItsPhases() {
        ConsensusNodes c = new ConsensusNodes();
        c.all.get("b#0").replace(c.now, 1, 5, 0, "digest", new byte[] {1});
        c.deliver();
        assertEquals(c.verdicts, List.of(ConsensusNode.CallResult.TAKEN));
        assertEquals(c.all.get("c#0").decided().version(), 5L);
    }

    @Test
    public void aNewDiskNeverVotesBeforeItHasASeat() {
        ConsensusNodes c = new ConsensusNodes();
        c.all.remove("b#0");
        c.all.remove("c#0");
        c.start("b#9", null);
        c.start("c#9", null);
        c.pass(5000);
        assertEquals(c.voters(), ConsensusNodes.FOUNDERS, "one of three decides nothing with two that are new");
    }

    @Test
    public void oneThatDiedBeforeThisControlNodeBeganFallsSilentTooAndLosesItsSeat() {
        ConsensusNodes c = new ConsensusNodes();
        Decision known = c.all.get("a#0").decided();
        c.all.clear();
        c.start("a#0", known);
        c.start("b#0", known);
        c.start("d#1", null);
        c.pass(2000);
        assertEquals(c.voters(), ConsensusNodes.FOUNDERS, "no vote beside one that may be dead");
        c.pass(2000);
        assertEquals(c.voters(), List.of("a#0", "b#0", "d#1"));
    }

    @Test
    public void aNewcomerIsALearnerUntilItHasTheNewestOnDisk() {
        ConsensusNodes c = new ConsensusNodes();
        c.replace("a#0", 5, 0, "digest");
        c.start("d#1", null);
        c.stall("d#1");
        c.pass(3000);
        assertEquals(c.all.get("d#1").decided().version(), 5L, "it learns");
        assertEquals(c.voters(), ConsensusNodes.FOUNDERS, "but nothing is on its disk");
    }

    @Test
    public void whoLeavesMoreThanThreeGoesOutByAgreementBeforeItEnds() {
        ConsensusNodes c = new ConsensusNodes();
        c.start("d#1", null);
        c.pass(1500);
        assertEquals(c.voters().size(), 4);
        ConsensusNode b = c.all.get("b#0");
        double from = c.now;
        b.leave(c.now);
        assertFalse(b.mayStop(c.now));
        for (int i = 0; i < 40 && !b.mayStop(c.now); i++) {
            c.pass(25);
        }
        assertTrue(b.mayStop(c.now) && c.now - from <= 500, "left after " + (c.now - from) + " ms");
        c.all.remove("b#0");
        assertEquals(c.voters(), List.of("a#0", "c#0", "d#1"));
        // The next loss comes at once, and is borne.
        c.all.remove("c#0");
        assertEquals(c.replace("a#0", 7, 0, "next"), ConsensusNode.CallResult.TAKEN);
    }

    @Test
    public void whoLeavesWaitsUntilAllThatRemainHaveTheNewestOnDisk() {
        ConsensusNodes c = new ConsensusNodes();
        c.start("d#1", null);
        c.pass(1500);
        c.stall("c#0");
        ConsensusNode b = c.all.get("b#0");
        b.leave(c.now);
        c.pass(2000);
        assertEquals(c.voters(), List.of("a#0", "c#0", "d#1"));
        assertFalse(b.mayStop(c.now), "c has told that its disk has an older decision");
    }

    @Test
    public void aRemovalWaitsForOneOrderAtMostHoweverManyWait() {
        ConsensusNodes c = new ConsensusNodes();
        c.start("d#1", null);
        c.pass(1500);
        long before = c.all.get("b#0").decided().slot();
        for (int version = 1; version <= 8; version++) {
            c.all.get("b#0").replace(c.now, version, version, version - 1, "d" + version, new byte[] {1});
        }
        c.all.get("b#0").leave(c.now);
        c.deliver();
        assertEquals(c.verdicts.size(), 8);
        List<String> voters = List.of("a#0", "c#0", "d#1");
        assertEquals(c.decisions.get(before + 2).voters(), voters, "the order under way, then the removal");
        assertEquals(c.decisions.lastEntry().getValue().voters(), voters);
    }

    @Test
    public void whoLeavesEndsWhileDecisionsFollowEachOther() {
        ConsensusNodes c = new ConsensusNodes();
        c.start("d#1", null);
        c.pass(1500);
        ConsensusNode b = c.all.get("b#0");
        b.leave(c.now);
        c.deliver();
        int version = 0;
        do {
            c.pass(25);
            version++;
            assertEquals(c.replace("a#0", version, version - 1, "d" + version), ConsensusNode.CallResult.TAKEN);
            // It knows of this before any of the others has told it what is on its disk.
            b.messageReceived(
                    c.now, "a#0", new Message.Decided(c.decisions.lastEntry().getValue()));
        } while (!b.mayStop(c.now) && version < 20);
        assertTrue(b.mayStop(c.now), "it waits for slots that are decided without it");
        assertEquals(
                c.replace("b#0", version + 1, version, "next"),
                ConsensusNode.CallResult.UNCLEAR,
                "one that may end takes on nothing new");
    }

    @Test
    public void whoIsRemovedWaitsUntilAQuorumHasThatOnDisk() {
        ConsensusNodes c = new ConsensusNodes(List.of("a#0", "b#0", "c#0", "d#0", "e#0"));
        c.stall("c#0");
        c.stall("d#0");
        ConsensusNode b = c.all.get("b#0");
        b.leave(c.now);
        c.pass(100);
        assertEquals(c.voters(), List.of("a#0", "c#0", "d#0", "e#0"));
        c.cutOff.add("c#0");
        c.cutOff.add("d#0");
        c.pass(2000);
        assertFalse(b.mayStop(c.now), "two of four have it on disk, and the others are out of contact");
    }

    @Test
    public void oneOfThreeKeepsItsSeatWhenItEnds() {
        ConsensusNodes c = new ConsensusNodes();
        ConsensusNode b = c.all.get("b#0");
        b.leave(c.now);
        c.pass(100);
        assertTrue(b.mayStop(c.now));
        assertEquals(c.voters(), ConsensusNodes.FOUNDERS, "it may come back, and two would bear no loss");
    }

    @Test
    public void oneOfThreeThatLeavesGivesItsSeatToANewcomer() {
        ConsensusNodes c = new ConsensusNodes();
        c.start("d#1", null);
        c.all.get("b#0").leave(c.now);
        c.pass(1500);
        List<String> voterIds = c.voters();
        assertTrue(voterIds.contains("d#1") && !voterIds.contains("b#0"), "" + voterIds);
        assertEquals(voterIds.size(), 3);
    }

    @Test
    public void twoOfFiveReplacedAsPlannedLeaveRoomForTwoMoreLossesAtOnce() {
        // Schedule 33 of the rig: seven votes, of which two that left were held by nobody.
        ConsensusNodes c = new ConsensusNodes(List.of("a#0", "b#0", "c#0", "d#0", "e#0"));
        c.start("n#1", null);
        c.pass(1000);
        c.start("m#2", null);
        c.pass(1000);
        assertEquals(c.voters().size(), 7);
        for (String leaver : List.of("c#0", "a#0")) {
            ConsensusNode consensusNode = c.all.get(leaver);
            consensusNode.leave(c.now);
            c.pass(400);
            assertTrue(consensusNode.mayStop(c.now), leaver);
            c.all.remove(leaver);
        }
        assertEquals(c.voters().size(), 5);
        c.all.remove("d#0");
        c.all.remove("e#0");
        assertEquals(c.replace("b#0", 5, 0, "digest"), ConsensusNode.CallResult.TAKEN);
    }

    @Test
    public void twoThatAreSilentInAnOddNumberLoseTheirSeats() {
        ConsensusNodes c = new ConsensusNodes(List.of("a#0", "b#0", "c#0", "d#0", "e#0"));
        c.all.remove("d#0");
        c.pass(4000);
        assertEquals(c.voters().size(), 5, "one that is away may come back");
        c.all.remove("e#0");
        c.pass(4000);
        assertEquals(c.voters(), List.of("a#0", "b#0", "c#0"));
        c.all.remove("c#0");
        assertEquals(c.replace("a#0", 5, 0, "digest"), ConsensusNode.CallResult.TAKEN);
    }

    @Test
    public void oneThatNothingReachesIsSilentWhateverItSays() {
        // Schedule 5355 of the rig: no learner got a vote for as long as a one-way cut lasted.
        ConsensusNodes c = new ConsensusNodes();
        c.deaf.add("c#0");
        c.pass(1000);
        c.start("d#1", null);
        c.pass(3500);
        assertEquals(c.voters(), List.of("a#0", "b#0", "d#1"));
    }

    @Test
    public void oneThatLeavesGivesItsSeatToANewcomerThatHasAsked() {
        // Of the same schedule: it went out, and left four with one lost and a learner that got no vote.
        ConsensusNodes c = new ConsensusNodes(List.of("a#0", "b#0", "c#0", "d#0", "e#0"));
        c.deaf.add("e#0");
        c.pass(1200);
        c.start("n#1", null);
        c.pass(700);
        assertEquals(c.voters().size(), 5, "it waits, for one may be dead");
        c.all.get("d#0").leave(c.now);
        c.pass(100);
        assertEquals(c.voters(), List.of("a#0", "b#0", "c#0", "n#1", "e#0"));
    }

    @Test
    public void twoThatCantReachEachOtherKeepTheirSeatsWhileTheThirdReachesBoth() {
        ConsensusNodes c = new ConsensusNodes();
        c.cutPairs.add(ConsensusNodes.pair("a#0", "b#0"));
        c.pass(4000);
        c.start("d#1", null);
        for (int i = 0; i < 40; i++) {
            c.pass(250);
            assertTrue(c.voters().containsAll(ConsensusNodes.FOUNDERS), "" + c.voters());
        }
        assertEquals(c.voters(), List.of("a#0", "b#0", "c#0", "d#1"), "c, which reaches all, gives it a vote");
    }

    @Test
    public void aDeadOneLosesItsSeatBesideTwoThatCantReachEachOther() {
        ConsensusNodes c = new ConsensusNodes(List.of("a#0", "b#0", "c#0", "d#0", "e#0"));
        c.cutPairs.add(ConsensusNodes.pair("a#0", "b#0"));
        c.all.remove("e#0");
        c.pass(1000);
        c.start("n#1", null);
        c.pass(3000);
        assertEquals(c.voters(), List.of("a#0", "b#0", "c#0", "d#0", "n#1"));
    }

    @Test
    public void oneThatNoMajorityHasGivenUpKeepsItsSeatThoughAnotherIsAway() {
        // Of five with one dead: c is cut from a and from b, d reaches all that live.
        ConsensusNodes c = new ConsensusNodes(List.of("a#0", "b#0", "c#0", "d#0", "e#0"));
        c.cutPairs.add(ConsensusNodes.pair("a#0", "c#0"));
        c.cutPairs.add(ConsensusNodes.pair("b#0", "c#0"));
        c.all.remove("e#0");
        c.start("n#1", null);
        c.pass(6000);
        assertEquals(c.voters(), List.of("a#0", "b#0", "c#0", "d#0", "n#1"));
    }

    @Test
    public void aControlNodeThatSleptTakesNobodyForSilent() {
        ConsensusNodes c = new ConsensusNodes();
        c.start("d#1", null);
        c.pass(1500);
        ConsensusNode a = c.all.remove("a#0");
        c.pass(2000);
        // Past the time of silence it thaws; nothing has arrived here meanwhile, or is only now to be read.
        c.now += 2000;
        c.all.put("a#0", a);
        a.tick(c.now);
        c.deliver();
        assertEquals(a.decided().voters().size(), 4);
    }

    @Test
    public void whoIsBehindAsksUntilItHasTheNewest() {
        ConsensusNodes c = new ConsensusNodes();
        c.lost = message -> message instanceof Message.Decided;
        assertEquals(c.replace("a#0", 5, 0, "digest"), ConsensusNode.CallResult.TAKEN);
        c.lost = message -> message instanceof Message.Prepare;
        c.pass(1000);
        assertEquals(c.all.get("b#0").decided().version(), 5L);
        assertEquals(c.all.get("c#0").decided().version(), 5L);
    }
}
