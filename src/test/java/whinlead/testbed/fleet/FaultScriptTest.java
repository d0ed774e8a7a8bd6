package whinlead.testbed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** That few faults are the ones that matter, whatever the seed. */
class FaultScriptTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void ofTheFirstFourOneIsAKillWhateverTheSeed(boolean disks) {
        Set<FaultScript.Kind> all = EnumSet.noneOf(FaultScript.Kind.class);
        for (long seed = 0; seed < 1000; seed++) {
            List<FaultScript.Fault> faults = Stream.generate(new FaultScript(seed, 3, disks)::next)
                    .limit(6)
                    .toList();
            assertTrue(faults.subList(0, 4).stream().anyMatch(f -> f.kind().kills()), "seed " + seed);
            assertEquals(3, faults.stream().filter(f -> f.kind().kills()).count(), "seed " + seed);
            assertTrue(faults.stream().allMatch(f -> f.member() >= 0 && f.member() < 3 && f.lastsMs() > 0));
            faults.forEach(f -> all.add(f.kind()));
        }
        Set<FaultScript.Kind> wanted = Stream.of(FaultScript.Kind.values())
                .filter(k -> disks || k != FaultScript.Kind.KILL_KEEPING_DISK)
                .collect(Collectors.toSet());
        assertEquals(wanted, all);
    }

    @Test
    void theSameSeedDealsTheSame() {
        FaultScript one = new FaultScript(7, 5, true);
        FaultScript other = new FaultScript(7, 5, true);
        for (int i = 0; i < 100; i++) {
            assertEquals(one.next(), other.next());
        }
    }
}
