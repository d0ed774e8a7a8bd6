package whinlead.testbed;

import java.util.List;
import whinlead.Contract;

/** Settings of the stand-ins' days: an aim of 500 ms, a deadline of 2 s, no reports, one sidecar. */
public final class Settings {
    /** In milliseconds. */
    public static final double AIM = 500;
    /** In milliseconds. */
    public static final double DEADLINE = 2000;

    private Settings() {}

    /** A class of requests with this aim and deadline, whose late answers are worth nothing. */
    public static Contract.RequestClass type(String name, double worth, Contract.Effect effect) {
        return new Contract.RequestClass(name, worth, 0, AIM, DEADLINE, effect, Contract.Group.ALL, 0, false);
    }

    /** Settings with these classes. */
    public static Contract.Settings of(boolean listMustBeAsked, Contract.RequestClass... classes) {
        return new Contract.Settings(
                List.of(classes),
                List.of(),
                1,
                new Contract.Limits(3, true, true, false, false, true, 1000, 0),
                new Contract.Obligations(1000, 3, 2000, 0.2, 20_000, 10_000),
                Contract.Reporting.NONE,
                listMustBeAsked,
                1,
                0);
    }
}
