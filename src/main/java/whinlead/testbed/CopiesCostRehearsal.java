package whinlead.testbed;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import whinlead.testbed.fleet.CopiesCost;

/**
 * {@code rehearse copies-cost}: what keeping copies costs the sidecar that is asked, beside one that keeps none, in
 * turn on the same machine.
 */
@Command(
        name = "copies-cost",
        description = "What keeping copies costs a consultation, by kind of request and by "
                + "members, beside a sidecar that keeps none.")
final class CopiesCostRehearsal implements Callable<Integer> {
    private static final int[] MEMBERS = {0, 1, 3, 5};
    /** Idempotent requests cost nothing of this: as many by a second of processor time, but for noise. */
    private static final double MIN_SAME = 0.85;

    private enum Kind {
        IDEMPOTENT("job-status"),
        UNSAFE("job-submit"),
        KEYED("job-keyed");

        private final String word;

        Kind(String word) {
            this.word = word;
        }
    }

    @Option(names = "--seconds", description = "Length of one measurement.")
    private double seconds = 3;

    @Override
    public Integer call() throws IOException {
        Promises promises = new Promises(System.out);
        CopiesCost costs = new CopiesCost(seconds);
        for (Kind kind : Kind.values()) {
            Map<Integer, CopiesCost.Cost> all = new TreeMap<>();
            for (int members : MEMBERS) {
                CopiesCost.Cost c = costs.measure(members, kind.word);
                all.put(members, c);
                System.out.printf(
                        Locale.ROOT,
                        "%s, %d members: %.0f by a second of one core, an ask %.0f us (p99 %.0f "
                                + "us), %.0f bytes between members each, not sent %.4f%n",
                        kind,
                        members,
                        c.perSecond(),
                        c.median(),
                        c.p99(),
                        c.bytes(),
                        c.notSent());
            }
            double off = all.get(0).perSecond();
            all.forEach((members, c) ->
                    promises.figure(kind + ", " + members + " members, of a sidecar without", c.perSecond() / off));
            if (kind == Kind.IDEMPOTENT) {
                promises.over(
                        kind + ", 3 members, of a sidecar without", all.get(3).perSecond() / off, MIN_SAME);
            }
        }
        return promises.kept() ? 0 : 1;
    }
}
