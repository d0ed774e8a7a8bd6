package whinlead.testbed.fleet;

import java.io.IOException;

/**
 * Injects faults into one group, one at a time, and undoes each when its time is over. For the thread that plays the
 * run; links are changed on the event loop.
 */
final class FaultInjector {
    private static final long LATE_MS = 300;

    private final FleetContext context;
    private final FleetGroup group;
    private final OutageTimer outageTimer;
    /** Undoes the fault that the group is in; null while it is in none. */
    private Runnable recovery;

    private double recoverAt;

    /** For a group, whose timer is told of each fault. */
    FaultInjector(FleetContext context, FleetGroup group, OutageTimer outageTimer) {
        this.context = context;
        this.group = group;
        this.outageTimer = outageTimer;
    }

    /** Whether the group is in a fault. */
    boolean active() {
        return recovery != null;
    }

    FleetGroup group() {
        return group;
    }

    /** Undoes the present fault if its time is over. */
    void recoverIfDue() {
        if (context.now() >= recoverAt) {
            recovery.run();
            recovery = null;
            context.loop().execute(() -> context.ledger().happened(context.now() + " " + group.name() + " mended"));
        }
    }

    /**
     * Begins a fault; the group must be in none.
     *
     * @throws IOException if a process can't be signalled or its disk can't be emptied
     */
    void inject(FaultScript.Fault fault) throws IOException {
        FleetNode node = group.firstMembers().get(fault.member());
        recovery = switch (fault.kind()) {
            case KILL_KEEPING_DISK, KILL_LOSING_ALL -> kill(node, fault.kind());
            case STOP -> freeze(node);
            default -> failLinks(node, fault.kind());
        };
        recoverAt = context.now() + fault.lastsMs();
        context.loop().execute(() -> record(node, fault.kind()));
    }

    private void record(FleetNode node, FaultScript.Kind kind) {
        context.ledger().seen(kind.told());
        context.ledger().happened(context.now() + " " + node.name() + " " + kind.told());
        outageTimer.fault(context.now());
    }

    private Runnable kill(FleetNode node, FaultScript.Kind kind) throws IOException {
        node.kill();
        if (context.plan().disks() && kind == FaultScript.Kind.KILL_LOSING_ALL) {
            node.deleteDisk();
        }
        context.loop().execute(() -> outageTimer.killed(context.now()));
        return () -> attempt(node.process()::start);
    }

    private Runnable freeze(FleetNode node) throws IOException {
        node.freeze();
        return () -> {
            attempt(node.process()::wake);
            node.markHealthy();
        };
    }

    private Runnable failLinks(FleetNode node, FaultScript.Kind kind) {
        context.loop().execute(() -> {
            for (FleetNode peer : group.firstMembers()) {
                if (peer != node && context.plan().copies()) {
                    failLinks(peer.link(node.member()), node.link(peer.member()), kind);
                }
            }
        });
        return () -> context.loop().execute(() -> group.firstMembers().forEach(FleetNode::healLinks));
    }

    // Both links between the failing member and a peer; each has two directions.
    private static void failLinks(Relay toMember, Relay fromMember, FaultScript.Kind kind) {
        switch (kind) {
            case CUT -> {
                toMember.cut();
                fromMember.cut();
            }
            case STALL_TO -> {
                toMember.stall(Relay.Way.THERE);
                fromMember.stall(Relay.Way.BACK);
            }
            case STALL_FROM -> {
                fromMember.stall(Relay.Way.THERE);
                toMember.stall(Relay.Way.BACK);
            }
            case RESET -> {
                toMember.reset();
                fromMember.reset();
            }
            default -> {
                toMember.delay(LATE_MS);
                fromMember.delay(LATE_MS);
            }
        }
    }

    private interface ProcessAction {
        void run() throws IOException;
    }

    private void attempt(ProcessAction action) {
        try {
            action.run();
        } catch (IOException e) {
            context.ledger().broken("the rig failed", e.getMessage());
        }
    }
}
