package whinlead.plan;

import java.util.Collections;
import java.util.List;
import whinlead.Contract;

/** Fleets for tests: 12 fronts with two cores each in three zones, and a given number of sidecars. */
final class Fleets {
    static final double CORE_MS = 20;
    static final int FRONTS = 12;
    static final int CORES = 2;

    private Fleets() {}

    static Contract.RequestClass requestClass(String name, double worth, Contract.Effect effect) {
        return new Contract.RequestClass(name, worth, 0, 500, 2000, effect, Contract.Group.ALL, 0, false);
    }

    static Fleet fleet(int sidecars, Contract.Reporting reporting) {
        Contract.Settings settings = new Contract.Settings(
                List.of(
                        requestClass("status", 5, Contract.Effect.SAFE),
                        requestClass("submit", 2, Contract.Effect.UNSAFE)),
                List.of(),
                1,
                new Contract.Limits(4, true, true, false, false, true, 1000, 0),
                new Contract.Obligations(2000, 4, 1500, 0.2, 20_000, 10_000),
                reporting,
                false,
                sidecars,
                0);
        Distribution core = new Distribution(CORE_MS, 1);
        Fleet fleet = new Fleet(
                settings,
                List.of(new Fleet.Model("m", CORES, 1, 1, 1)),
                List.of(new Fleet.Zone("a", 0.4, 0.2), new Fleet.Zone("b", 0.3, 0.2), new Fleet.Zone("c", 0.3, 0.2)),
                FRONTS,
                List.of(new Fleet.Work(core, new Distribution(5, 0)), new Fleet.Work(core, new Distribution(5, 0))),
                new Fleet.Front(false, 20, 500, 2, 0.2, 20_000, 0, 1, 0, false),
                new Fleet.Sidecar(0.1, 1000, 1000, 250, 60_000),
                Collections.nCopies(sidecars, 1.0 / sidecars),
                new Fleet.Clients(1, 100, 1),
                List.of());
        fleet.check();
        return fleet;
    }

    /** Capacity of the fleet's cores in requests per second. */
    static double capacity(Fleet fleet) {
        return fleet.fronts() * CORES * 1000 / CORE_MS;
    }

    static Load load(Fleet fleet, double utilisation, double lengthMs) {
        return new Load(capacity(fleet) * utilisation, List.of(0.8, 0.2), List.of(), lengthMs);
    }
}
