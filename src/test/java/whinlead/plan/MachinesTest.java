package whinlead.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Tests how fronts are drawn from a description. */
class MachinesTest {
    private static Fleet mixedFleet(int fronts) {
        Fleet f = Fleets.fleet(3, Contract.Reporting.NONE)
                .with(List.of(new Fleet.Model("small", 2, 0.5, 1, 0.75), new Fleet.Model("large", 4, 1, 2, 0.25)));
        return f.fronts(fronts)
                .changes(List.of(
                        new Fleet.Change(Fleet.ChangeKind.SLOWED, null, 0.25, 0.5, 0, 1, 0),
                        new Fleet.Change(Fleet.ChangeKind.ZONE_DIED, "a", 1, 1, 0, 1, 0)));
    }

    @Test
    void addingFrontLeavesOtherFrontsUnchanged() {
        for (int n = 1; n < 40; n++) {
            assertEquals(
                    Machines.of(mixedFleet(n), 5).all(),
                    Machines.of(mixedFleet(n + 1), 5).all().subList(0, n));
        }
    }

    @Test
    void modelAndZoneSharesAreMetAndZonesMixModels() {
        Machines m = Machines.of(mixedFleet(80), 5);
        assertEquals(
                20,
                m.all().stream().filter(x -> x.model().name().equals("large")).count());
        for (Fleet.Zone z : mixedFleet(80).zones()) {
            List<Machines.Machine> inZone =
                    m.all().stream().filter(x -> x.zone().equals(z)).toList();
            assertEquals(80 * z.share(), inZone.size(), 2, z.name());
            assertEquals(
                    0.25,
                    inZone.stream().filter(x -> x.model().cores() == 4).count() / (double) inZone.size(),
                    0.1,
                    z.name());
        }
        assertTrue(m.all().stream()
                .allMatch(x -> x.speed() >= x.model().slowest()
                        && x.speed() <= x.model().fastest()));
    }

    @Test
    void changeAffectsItsShareOfFrontsOrItsWholeZone() {
        Machines m = Machines.of(mixedFleet(80), 5);
        assertEquals(20, m.affected().get(0).size());
        assertTrue(m.affected().get(1).stream()
                .allMatch(i -> m.all().get(i).zone().name().equals("a")));
        assertEquals(
                m.all().stream().filter(x -> x.zone().name().equals("a")).count(),
                m.affected().get(1).size());
    }
}
