package cobaltrack.standin.post.hardening;

import cobaltrack.post.ballot.Council;
import cobaltrack.post.ballot.Decision;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A sidecar that starts with nothing: asks the offices that it knows of, begins with what one has that says
 * it is in touch with a majority, and after long without any with what there is. One thread.
 */
final class Sidecar {
    private static final double ASK = 300;
    /** So long it looks for an office in touch, in milliseconds; {@code StretchS} and what goes with it. */
    private static final double LOOKS = 10_000;

    private final Core core;
    private final String name;
    private final Set<String> offices;
    private double startedAt;
    private boolean began;

    Sidecar(Core core, String name, List<String> seeds) {
        this.core = core;
        this.name = name;
        this.offices = new LinkedHashSet<>(seeds);
    }

    /** Begins to ask. */
    void start() {
        startedAt = core.now();
        core.tell(name + " starts with seeds " + offices);
        ask();
    }

    private void ask() {
        if (began) {
            return;
        }
        for (String office : offices) {
            core.network().send(name, office, () -> {
                Machine m = core.at(office);
                if (m != null) {
                    m.loop(() -> answer(m));
                }
            });
        }
        core.agenda().in(ASK, this::ask);
    }

    // On the office's loop.
    private void answer(Machine m) {
        Decision d = m.council().decided();
        if (d == null) {
            return;
        }
        boolean claims = m.claimsContact();
        boolean has = m.hasContact();
        boolean calm = core.calm(m.address());
        long owed = core.checker().acknowledgedBy(core.now() - Core.CONVERGE);
        core.network().send(m.address(), name, () -> take(m.address(), d, claims, has, calm, owed));
    }

    private void take(String from, Decision d, boolean claims, boolean has, boolean calm, long owed) {
        if (began) {
            return;
        }
        d.electors().forEach(e -> offices.add(Council.address(e)));
        if (d.version() == 0) {
            return;
        }
        if (claims || core.bug() == Bug.BEGINS_UNCONFIRMED) {
            began = true;
            core.tell(name + " begins with version " + d.version() + " from " + from);
            core.checker().sample("a sidecar, ms to its beginning", core.now() - startedAt);
            if (d.version() < owed) {
                if (!has || calm) {
                    core.checker().broke(name + " begins with version " + d.version() + " from " + from
                            + (has ? " which is in touch" : " which is not in touch") + ", though " + owed
                            + " was acknowledged 2.5 s before");
                } else {
                    core.checker().count("sidecars that began behind at an office just back in touch");
                }
            }
        } else if (core.now() - startedAt > LOOKS) {
            began = true;
            core.checker().count("sidecars that began unconfirmed, for none in touch was in reach");
        }
    }
}
