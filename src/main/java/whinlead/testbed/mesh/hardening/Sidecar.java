package whinlead.testbed.mesh.hardening;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;

/**
 * A sidecar that starts with nothing, as {@code sidecar.ControlClient} goes about it: asks the control nodes that it
 * knows of, begins with what one has that says it is in touch with a majority, asks other sidecars for more control
 * nodes, and after a while without any in touch begins with the newest that it was told. One thread.
 */
final class Sidecar {
    private static final double ASK = 200;
    /** Without a control node that confirms, others are asked for more of them after so long, in milliseconds. */
    private static final double SEEK = 1000;
    /** From the first answer so long it waits for a control node in touch, in milliseconds. */
    private static final double WAIT = 2000;

    private final Core core;
    private final String name;
    private final Set<String> controlNodes;
    private final double blockedUntil;
    private Decision candidate;
    private double startedAt;
    private double answeredAt = Double.NaN;
    private boolean began;

    /**
     * A sidecar that has not started.
     *
     * @param blockedUntil from then on its ways to all control nodes and other sidecars are open
     */
    Sidecar(Core core, String name, List<String> seeds, double blockedUntil) {
        this.core = core;
        this.name = name;
        this.controlNodes = new LinkedHashSet<>(seeds);
        this.blockedUntil = blockedUntil;
    }

    /** Begins to ask. */
    void start() {
        startedAt = core.now();
        core.tell(name + " starts with seeds " + controlNodes);
        core.agenda().in(SEEK, this::seek);
        ask();
    }

    private void seek() {
        if (core.now() >= blockedUntil) {
            core.machines().forEach(m -> controlNodes.add(m.address()));
        } else if (!began) {
            core.agenda().in(SEEK, this::seek);
        }
    }

    private void ask() {
        if (began) {
            return;
        }
        if (core.now() - answeredAt > WAIT) {
            beginUnconfirmed();
            return;
        }
        for (String controlNode : controlNodes) {
            core.network().sendSurely(name, controlNode, () -> {
                Machine m = core.at(controlNode);
                if (m != null) {
                    m.loop(() -> answer(m));
                }
            });
        }
        core.agenda().in(ASK, this::ask);
    }

    // On the control node's loop.
    private void answer(Machine m) {
        Decision d = m.consensus().decided();
        if (d == null || d.version() == 0) {
            return;
        }
        boolean claims = m.claimsContact();
        boolean has = m.hasContact();
        boolean calm = core.calm(m.address());
        long owed = core.checker().acknowledgedBy(core.now() - Core.CONVERGE);
        core.network().sendSurely(m.address(), name, () -> take(m.address(), d, claims, has, calm, owed));
    }

    private void take(String from, Decision d, boolean claims, boolean has, boolean calm, long owed) {
        if (began) {
            return;
        }
        d.voters().forEach(e -> controlNodes.add(ConsensusNode.address(e)));
        answeredAt = Double.isNaN(answeredAt) ? core.now() : answeredAt;
        if (candidate == null || d.slot() > candidate.slot()) {
            candidate = d;
        }
        if (!claims && core.bug() != Bug.BEGINS_UNCONFIRMED) {
            return;
        }
        began = true;
        core.tell(name + " begins with version " + candidate.version() + ", confirmed by " + from);
        core.checker().sample("a sidecar, ms to its beginning with a confirmed version", core.now() - startedAt);
        if (candidate.version() < owed) {
            if (!has || calm) {
                core.checker()
                        .broke(name + " begins with version " + candidate.version() + " from " + from
                                + (has ? " which is in touch" : " which is not in touch") + ", though " + owed
                                + " was acknowledged 2.5 s before");
            } else {
                core.checker().count("sidecars that began behind at a control node just back in touch");
            }
        }
    }

    private void beginUnconfirmed() {
        began = true;
        core.checker().count("sidecars that began unconfirmed");
        if (blockedUntil < startedAt && core.machines().stream().anyMatch(m -> m.up() && core.calm(m.address()))) {
            core.checker().broke(name + " begins unconfirmed though it reaches a calm control node");
        }
    }
}
