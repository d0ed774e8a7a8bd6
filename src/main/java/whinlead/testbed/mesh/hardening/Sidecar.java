package whinlead.testbed.mesh.hardening;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;

/**
 * A sidecar that starts without a configuration, as {@code sidecar.ControlClient} does: it asks the known control
 * nodes, starts with the configuration of one that claims contact with a majority, asks other sidecars for more control
 * nodes, and if none claims contact for a while, starts with the newest configuration received. Single-threaded.
 */
final class Sidecar {
    private static final double ASK_MS = 200;
    /**
     * Without a confirming control node, other sidecars are asked for more control nodes after this, in milliseconds.
     */
    private static final double SEEK_MS = 1000;
    /** How long after the first answer it waits for a control node in contact, in milliseconds. */
    private static final double WAIT_MS = 2000;

    private final Core core;
    private final String name;
    private final Set<String> controlNodes;
    private final double blockedUntilMs;
    private Decision candidate;
    private double startedAtMs;
    private double answeredAtMs = Double.NaN;
    private boolean started;

    /**
     * Creates a sidecar that has not started.
     *
     * @param blockedUntil when its links to all control nodes and other sidecars are open, in milliseconds
     */
    Sidecar(Core core, String name, List<String> seeds, double blockedUntil) {
        this.core = core;
        this.name = name;
        this.controlNodes = new LinkedHashSet<>(seeds);
        this.blockedUntilMs = blockedUntil;
    }

    /** Starts to ask the control nodes. */
    void start() {
        startedAtMs = core.nowMs();
        core.log(name + " starts with seeds " + controlNodes);
        core.scheduler().schedule(SEEK_MS, this::findControlNodes);
        ask();
    }

    private void findControlNodes() {
        if (core.nowMs() >= blockedUntilMs) {
            core.machines().forEach(m -> controlNodes.add(m.address()));
        } else if (!started) {
            core.scheduler().schedule(SEEK_MS, this::findControlNodes);
        }
    }

    private void ask() {
        if (started) {
            return;
        }
        if (core.nowMs() - answeredAtMs > WAIT_MS) {
            startUnconfirmed();
            return;
        }
        for (String controlNode : controlNodes) {
            core.network().sendReliably(name, controlNode, () -> {
                Machine m = core.machineAt(controlNode);
                if (m != null) {
                    m.runOnLoop(() -> answer(m));
                }
            });
        }
        core.scheduler().schedule(ASK_MS, this::ask);
    }

    // Runs on the control node's loop.
    private void answer(Machine m) {
        Decision d = m.consensus().decided();
        if (d == null || d.version() == 0) {
            return;
        }
        boolean claims = m.claimsContact();
        boolean hasContact = m.hasContact();
        boolean calm = core.isUndisturbed(m.address());
        long acknowledgedVersion = core.checker().acknowledgedBy(core.nowMs() - Core.CONVERGE_MS);
        core.network()
                .sendReliably(
                        m.address(),
                        name,
                        () -> answered(m.address(), d, claims, hasContact, calm, acknowledgedVersion));
    }

    private void answered(
            String from, Decision d, boolean claims, boolean hasContact, boolean calm, long acknowledgedVersion) {
        if (started) {
            return;
        }
        d.voters().forEach(e -> controlNodes.add(ConsensusNode.address(e)));
        answeredAtMs = Double.isNaN(answeredAtMs) ? core.nowMs() : answeredAtMs;
        if (candidate == null || d.slot() > candidate.slot()) {
            candidate = d;
        }
        if (!claims && core.bug() != Bug.BEGINS_UNCONFIRMED) {
            return;
        }
        started = true;
        core.log(name + " starts with version " + candidate.version() + ", confirmed by " + from);
        core.checker().sample("a sidecar, ms to its beginning with a confirmed version", core.nowMs() - startedAtMs);
        if (candidate.version() < acknowledgedVersion) {
            if (!hasContact || calm) {
                core.checker()
                        .recordViolation(name + " starts with version " + candidate.version() + " from " + from
                                + (hasContact ? " which is in contact" : " which is not in contact") + ", though "
                                + acknowledgedVersion
                                + " was acknowledged 2.5 s before");
            } else {
                core.checker().count("sidecars that began behind at a control node just back in touch");
            }
        }
    }

    private void startUnconfirmed() {
        started = true;
        core.checker().count("sidecars that began unconfirmed");
        if (blockedUntilMs < startedAtMs
                && core.machines().stream().anyMatch(m -> m.up() && core.isUndisturbed(m.address()))) {
            core.checker().recordViolation(name + " starts unconfirmed though it reaches an undisturbed control node");
        }
    }
}
