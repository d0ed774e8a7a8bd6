package cobaltrack.post;

import static org.testng.Assert.assertEquals;

import cobaltrack.post.ballot.Ballot;
import cobaltrack.post.ballot.Council;
import cobaltrack.post.ballot.Decision;
import cobaltrack.post.ballot.Elector;
import cobaltrack.post.ballot.Slip;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Who gets a seat, and when: councils that hear each other at once, and one that has gone. */
public class CouncilSeatTest {
    private static final List<String> FOUNDERS = List.of("a#0", "b#0", "c#0");
    private static final double TICK = 25;

    private final Map<String, Council> councils = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> mail = new ArrayDeque<>();
    private final List<Council.Verdict> verdicts = new ArrayList<>();
    private double now;

    private void start(String id, Decision known) {
        councils.put(id, new Council(id, new Elector.Memory(known, Ballot.NONE, null), id.hashCode(),
                new Council.Actions() {
                    @Override
                    public void send(String to, Slip slip) {
                        councils.forEach((name, c) -> {
                            if (to == null && !name.equals(id) || name.equals(to)) {
                                mail.add(() -> c.received(now, id, slip));
                            }
                        });
                    }

                    @Override
                    public void sync(Elector.Memory memory, String to, Slip slip) {
                        send(to, slip);
                    }

                    @Override
                    public void replaced(long call, Council.Verdict verdict) {
                        verdicts.add(verdict);
                    }

                    @Override
                    public void read(long call, Decision newest) { }

                    @Override
                    public void decided(Decision decision) { }
                }));
    }

    // All hear each other all the time.
    private void pass(double millis) {
        for (double end = now + millis; now < end; now += TICK) {
            councils.forEach((id, c) -> councils.keySet().forEach(other -> c.heard(now, other)));
            councils.values().forEach(c -> c.tick(now));
            while (!mail.isEmpty()) {
                mail.poll().run();
            }
        }
    }

    private void found() {
        councils.clear();
        mail.clear();
        verdicts.clear();
        now = 0;
        FOUNDERS.forEach(id -> start(id, Decision.founding(FOUNDERS)));
        pass(1000);
    }

    private List<String> electors() {
        return councils.get("a#0").decided().electors();
    }

    @Test
    public void aNewcomerWaitsWhileOneIsQuietAndTakesTheSeatOfOneThatIsSilent() {
        found();
        councils.remove("c#0");
        pass(1200);
        start("d#1", null);
        pass(800);
        assertEquals(electors(), FOUNDERS, "a seat beside one that may be dead leaves no room for a loss");
        pass(1200);
        assertEquals(electors(), List.of("a#0", "b#0", "d#1"));
    }

    @Test
    public void aNewDiskAtAnOldAddressTakesThatSeatAtOnce() {
        found();
        councils.remove("b#0");
        start("b#9", null);
        pass(600);
        assertEquals(electors(), List.of("a#0", "b#9", "c#0"));
    }

    @Test
    public void oneMoreIsAddedWhereAllAreThereAndAnEvenNumberDropsOneThatIsSilent() {
        found();
        start("d#1", null);
        pass(600);
        assertEquals(electors(), List.of("a#0", "b#0", "c#0", "d#1"));
        councils.remove("b#0");
        pass(3500);
        assertEquals(electors(), List.of("a#0", "c#0", "d#1"));
    }

    @Test
    public void aBallotWaitsForNoTimerBetweenItsPhases() {
        found();
        councils.get("b#0").replace(now, 1, 5, 0, "digest", new byte[] {1});
        while (!mail.isEmpty()) {
            mail.poll().run();
        }
        assertEquals(verdicts, List.of(Council.Verdict.TAKEN));
        assertEquals(councils.get("c#0").decided().version(), 5L);
    }

    @Test
    public void aNewDiskNeverVotesBeforeItHasASeat() {
        found();
        councils.remove("b#0");
        councils.remove("c#0");
        start("b#9", null);
        start("c#9", null);
        pass(5000);
        assertEquals(electors(), FOUNDERS, "one of three decides nothing with two that are new");
    }
}
