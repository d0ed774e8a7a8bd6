package whinlead.replication.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who takes whose seat, step by step, while members fall silent and come back in any order. */
class ReplacementTest {
    private static final double AFTER = 5000;
    private static final double TICK = 250;

    private final Set<MemberId> members = new TreeSet<>();
    private final Set<MemberId> voters = new TreeSet<>();
    private double now;

    private Replacement.View view() {
        return new Replacement.View(new TreeSet<>(members), new TreeSet<>(voters));
    }

    private void take(MembershipManager.Step step) {
        if (step instanceof MembershipManager.Step.Learn s) {
            members.add(s.who());
        } else if (step instanceof MembershipManager.Step.Remove s) {
            members.remove(s.who());
            voters.remove(s.who());
        } else if (step instanceof MembershipManager.Step.Promote s) {
            voters.add(s.who());
        }
    }

    private void join(Replacement rule, MemberId who) {
        MembershipManager.next(who, members, voters, rule.claim(who.name(), view(), now))
                .ifPresent(this::take);
    }

    private static Set<String> names(Set<MemberId> all) {
        return all.stream().map(MemberId::name).collect(Collectors.toCollection(TreeSet::new));
    }

    private Replacement three() {
        for (String name : List.of("a", "b", "c")) {
            members.add(new MemberId(name, 1));
        }
        voters.addAll(members);
        return new Replacement("g", "a", Set.of("a", "b", "c"), Set.of("a", "b", "c", "x", "y"), AFTER);
    }

    private Optional<Replacement.Act> pass(Replacement rule, double millis, String... alive) {
        for (double until = now + millis; now < until; ) {
            now += TICK;
            for (String name : alive) {
                rule.heard(name, now);
            }
            Optional<Replacement.Act> act = rule.tick(view(), now);
            if (act.isPresent()) {
                return act;
            }
        }
        return Optional.empty();
    }

    @Test
    void aSilentMemberIsReplacedAndTakesItsSeatAgain() {
        Replacement rule = three();
        assertEquals(Optional.empty(), pass(rule, AFTER, "b"));
        Replacement.Act act = pass(rule, AFTER, "b").orElseThrow();
        String guest = ((Replacement.Act.Invite) act).name();
        MemberId who = new MemberId(guest, 1);
        join(rule, who);
        assertEquals(Set.of("a", "b", "c"), names(voters));
        join(rule, who);
        assertEquals(Set.of("a", "b"), names(voters));
        join(rule, who);
        assertEquals(Set.of("a", "b", guest), names(voters));
        // It comes back with nothing.
        MemberId home = new MemberId("c", 2);
        pass(rule, TICK, "b", guest);
        join(rule, home);
        join(rule, home);
        assertEquals(4, voters.size());
        Replacement.Act goes = pass(rule, TICK, "b", "c", guest).orElseThrow();
        assertEquals(new Replacement.Act.Dismiss(who), goes);
    }

    /**
     * Schedule 1935 of a fleet: with one that votes lost for good, the guest's going left two seats, one of them the
     * lost one's, and nobody that could ever agree on anything.
     */
    @Test
    void aGuestKeepsItsSeatWhileAnotherThatVotesIsNotHeard() {
        Replacement rule = three();
        MemberId who = new MemberId(
                ((Replacement.Act.Invite) pass(rule, 3 * AFTER, "b").orElseThrow()).name(), 1);
        for (int i = 0; i < 3; i++) {
            join(rule, who);
        }
        pass(rule, 2000, who.name());
        join(rule, new MemberId("c", 2));
        assertEquals(Set.of("a", "b", who.name()), names(members));
    }

    @Test
    void oneThatWasNotAskedIsNotLetIn() {
        Replacement rule = three();
        join(rule, new MemberId("x", 1));
        join(rule, new MemberId("y", 1));
        assertEquals(voters, members);
    }

    @Test
    void aMemberThatComesBackInTimeKeepsItsSeatAndTheLearnerGoes() {
        Replacement rule = three();
        String guest = ((Replacement.Act.Invite) pass(rule, 3 * AFTER, "b").orElseThrow()).name();
        join(rule, new MemberId(guest, 1));
        assertEquals(4, members.size());
        assertEquals(
                Optional.of(new Replacement.Act.Dismiss(new MemberId(guest, 1))), pass(rule, TICK, "b", "c", guest));
    }

    /** Its earlier life is lost as well: it must not keep the seat from everybody. */
    @Test
    void aNewLifeThatDiesBeforeItVotesDoesNotStandInTheWay() {
        Replacement rule = three();
        join(rule, new MemberId("c", 2));
        assertEquals(4, members.size());
        assertEquals(Optional.of(new Replacement.Act.Dismiss(new MemberId("c", 2))), pass(rule, 2 * AFTER, "b"));
        members.remove(new MemberId("c", 2));
        assertTrue(pass(rule, AFTER, "b").orElseThrow() instanceof Replacement.Act.Invite);
    }

    @Test
    void theNextIsAskedWhereOneDoesNotCome() {
        Replacement rule = three();
        Set<String> asked = new TreeSet<>();
        for (int i = 0; i < 2; i++) {
            asked.add(((Replacement.Act.Invite) pass(rule, 3 * AFTER, "b").orElseThrow()).name());
        }
        assertEquals(Set.of("x", "y"), asked);
    }

    @Test
    void oneThatStoodStillItselfHoldsItAgainstNobody() {
        Replacement rule = three();
        pass(rule, AFTER, "b", "c");
        now += 10 * AFTER;
        assertEquals(Optional.empty(), rule.tick(view(), now));
    }

    @Test
    void offNobodyIsEverReplacedByAnother() {
        three();
        Replacement rule = new Replacement("g", "a", Set.of("a", "b", "c"), Set.of("a", "b", "c", "x"), 0);
        assertEquals(Optional.empty(), pass(rule, 100 * AFTER));
        join(rule, new MemberId("x", 1));
        join(rule, new MemberId("c", 2));
        assertEquals(Set.of("a", "b", "c"), names(members));
    }

    /** Processes of all kinds die, come back with nothing, and ask; the one that leads may change at any time. */
    @ParameterizedTest
    @CsvSource({"3, 1", "3, 2", "3, 3", "3, 4", "5, 5", "5, 6", "5, 7", "5, 8", "7, 9", "7, 10"})
    void seatsAreNeverMoreNorFewerThanTheyMay(int size, long seed) {
        Random dice = new Random(seed);
        List<String> first = IntStream.range(0, size).mapToObj(i -> "f" + i).toList();
        List<String> all = new ArrayList<>(first);
        IntStream.range(0, 4).forEach(i -> all.add("z" + i));
        first.forEach(n -> members.add(new MemberId(n, 1)));
        voters.addAll(members);
        Map<String, Integer> lives = new HashMap<>();
        Map<String, Boolean> up = new HashMap<>();
        all.forEach(n -> up.put(n, true));
        Map<String, MemberId> asks = new HashMap<>();
        Replacement rule = null;
        int bears = (size - 1) / 2;
        int guestsSeen = 0;
        for (int i = 0; i < 20_000; i++) {
            now += TICK;
            // So many are away at a time as the group bears to lose; one that leads is not.
            if (dice.nextInt(40) == 0) {
                String name = all.get(dice.nextInt(all.size()));
                long away = names(voters).stream().filter(n -> !up.get(n)).count() + size - voters.size();
                if (up.get(name) && (!names(voters).contains(name) || away < bears)) {
                    up.put(name, false);
                    asks.remove(name);
                } else if (!up.get(name)) {
                    up.put(name, true);
                    if (first.contains(name)) {
                        int life = lives.merge(name, 1, Integer::sum) + 1;
                        asks.put(name, new MemberId(name, life));
                    }
                }
            }
            String leads = voters.stream()
                    .map(MemberId::name)
                    .filter(up::get)
                    .findFirst()
                    .orElseThrow();
            if (rule == null || dice.nextInt(100) == 0 || !up.get(leads)) {
                rule = new Replacement("g", leads, first, all, AFTER);
            }
            for (String name : all) {
                boolean lives1 = asks.containsKey(name)
                        || members.stream().anyMatch(m -> m.name().equals(name));
                if (up.get(name) && lives1) {
                    rule.heard(name, now);
                }
            }
            Set<MemberId> before = new TreeSet<>(voters);
            rule.tick(view(), now).ifPresent(act -> {
                if (act instanceof Replacement.Act.Dismiss d) {
                    assertTrue(!voters.contains(d.who()) || voters.size() > size);
                    members.remove(d.who());
                    voters.remove(d.who());
                    asks.remove(d.who().name(), d.who());
                } else if (act instanceof Replacement.Act.Invite in && up.get(in.name())) {
                    asks.put(in.name(), new MemberId(in.name(), 1 + lives.merge(in.name(), 1, Integer::sum)));
                }
            });
            for (MemberId who : List.copyOf(asks.values())) {
                if (dice.nextInt(3) == 0) {
                    join(rule, who);
                }
                if (voters.contains(who)) {
                    asks.remove(who.name());
                }
            }
            long guests = voters.stream().filter(m -> !first.contains(m.name())).count();
            guestsSeen += guests > 0 ? 1 : 0;
            assertTrue(guests <= bears || voters.size() > size, () -> "guests " + voters);
            assertTrue(voters.size() <= size + 1 && voters.size() >= size - bears, () -> "voters " + voters);
            assertTrue(names(voters).size() == voters.size(), () -> "a name twice " + voters);
            // One that is there and is heard loses its seat to nobody but its first owner.
            for (MemberId m : before) {
                assertTrue(
                        voters.contains(m)
                                || !up.get(m.name())
                                || lives.getOrDefault(m.name(), 0) + 1 > m.life()
                                || !first.contains(m.name()),
                        () -> m + " of " + before + " lost its seat: " + voters);
            }
        }
        assertTrue(guestsSeen > 100, "guests in " + guestsSeen + " rounds");
        // All are back: every seat is its first member's again.
        Replacement last = new Replacement("g", first.get(0), first, all, AFTER);
        for (int i = 0; i < 400; i++) {
            now += TICK;
            for (String name : all) {
                last.heard(name, now);
                if (first.contains(name)
                        && voters.stream().noneMatch(m -> m.name().equals(name))) {
                    asks.computeIfAbsent(name, n -> new MemberId(n, 1 + lives.merge(n, 1, Integer::sum)));
                }
            }
            for (MemberId who : List.copyOf(asks.values())) {
                join(last, who);
            }
            last.tick(view(), now).ifPresent(act -> {
                if (act instanceof Replacement.Act.Dismiss d) {
                    members.remove(d.who());
                    voters.remove(d.who());
                }
            });
        }
        assertEquals(new TreeSet<>(first), names(voters), () -> members + " " + asks);
    }
}
