package whinlead.testbed.mesh.hardening;

import java.nio.charset.StandardCharsets;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.control.ConfigCodec;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * Point 4: at least 300 changes while one member is down, isolated, frozen, on a stalled disk, or restarted repeatedly.
 * The member then returns and has to catch up, which is measured in bytes and milliseconds. A stale order sent to it
 * while it is behind must not take effect. Finally all machines lose power. One schedule; single-threaded.
 */
final class CatchUpPlay {
    private enum Kind {
        DOWN("missed all"),
        CUT("missed all"),
        WIPED("missed all"),
        HELD("with all old messages at once"),
        FROZEN("with all old messages at once"),
        STALLED_DISK("hanging disk"),
        RESTARTED("restarted again and again");

        private final String condition;

        Kind(String after) {
            this.condition = after;
        }
    }

    private static final int MIN_CHANGES = 300;
    private static final int CHANGES_SPREAD = 60;
    private static final int CHANGES_BEFORE_FAULT = 8;
    private static final double POLL_MS = 5;
    private static final double ORDER_TIMEOUT_MS = 8000;
    private static final double MAX_LENGTH_MS = 120_000;
    private static final int ROUTES = 350;
    private static final byte[] LARGE_BODY = ConfigCodec.deflate(routes().getBytes(StandardCharsets.UTF_8));

    private final Core core;
    private final Operators operators;
    private final Faults faults;
    private final Kind kind;
    private final boolean large;
    private final int changes;
    private Machine member;
    private int acknowledgedChanges;
    private long baseVersion;
    private boolean returned;
    private boolean caughtUp;
    private double returnedAtMs;
    private int finalReads;

    private CatchUpPlay(long seed, Bug bug, Trace trace) {
        core = new Core(seed, bug, trace, 3);
        large = seed % 2 == 0;
        operators = new Operators(core, 0, large ? LARGE_BODY : new byte[0]);
        faults = new Faults(core, 1, Core.SYNC_MS);
        kind = Kind.values()[core.random().nextInt(Kind.values().length)];
        changes = MIN_CHANGES + core.random().nextInt(CHANGES_SPREAD);
    }

    // Routes as an operator writes them: alike except for names and a few numbers.
    private static String routes() {
        StringBuilder s = new StringBuilder("{\"Routes\":[");
        for (int i = 0; i < ROUTES; i++) {
            s.append(i == 0 ? "" : ",")
                    .append("{\"Id\":\"r")
                    .append(Integer.toHexString(i * 40_503))
                    .append("\",\"Match\":{\"PathPrefix\":\"/shop/")
                    .append(Integer.toHexString(i * 7919))
                    .append("\",\"Methods\":[\"GET\",\"POST\"]},\"Service\":\"service-")
                    .append(i * 31 % 57)
                    .append("\",\"TimeoutS\":")
                    .append(1 + i % 9)
                    .append(",\"Idempotent\":")
                    .append(i % 3 != 0)
                    .append(",\"Rank\":")
                    .append(i % 3)
                    .append('}');
        }
        return s.append("]}").toString();
    }

    /** Plays one schedule. */
    static Outcome play(long seed, Bug bug, Trace trace) {
        return new CatchUpPlay(seed, bug, trace).play();
    }

    private Outcome play() {
        member = core.randomMachine();
        operators.preferLast();
        core.scheduler().schedule(core.randomBetween(0, 300), this::change);
        core.scheduler().schedule(core.randomBetween(0, 300), this::read);
        core.scheduler()
                .runUntil(MAX_LENGTH_MS, () -> caughtUp || core.checker().hasViolations());
        if (!core.checker().hasViolations() && !caughtUp) {
            core.checker()
                    .recordViolation(
                            "only " + acknowledgedChanges + " of " + changes + " changes acknowledged in 120 s");
        }
        // Outstanding orders end, and the member has had its SyncS.
        core.scheduler().runUntil(core.nowMs() + ORDER_TIMEOUT_MS, core.checker()::hasViolations);
        for (int i = 0; i < 2 && !core.checker().hasViolations(); i++) {
            checkPowerLoss(i);
        }
        if (!core.checker().hasViolations()) {
            checkFinalReads();
        }
        core.checker().checkHistory();
        return core.checker().outcome();
    }

    // After one more change all machines lose power, and the given number of disks is lost.
    private void checkPowerLoss(int disks) {
        boolean[] taken = {false};
        core.machines()
                .forEach(m -> operators.read(
                        m.address(), d -> baseVersion = d == null ? baseVersion : Math.max(baseVersion, d.version())));
        core.scheduler().runUntil(core.nowMs() + Core.CONTACT_MS, core.checker()::hasViolations);
        operators.order(operators.change(baseVersion), ORDER_TIMEOUT_MS, o -> {
            taken[0] = o.taken();
            if (o.taken()) {
                baseVersion = o.change().version();
                faults.losePower(disks);
            }
        });
        core.scheduler().runUntil(core.nowMs() + ORDER_TIMEOUT_MS + Core.ACK_MS, core.checker()::hasViolations);
        if (!taken[0] && !core.checker().hasViolations()) {
            core.checker().recordViolation("a change was not taken after the member was back");
        }
    }

    private void checkFinalReads() {
        core.machines().forEach(m -> operators.read(m.address(), d -> finalReads += d == null ? 0 : 1));
        core.scheduler().runUntil(core.nowMs() + Core.ACK_MS, core.checker()::hasViolations);
        if (finalReads < core.machines().size() && !core.checker().hasViolations()) {
            core.checker().recordViolation("only " + finalReads + " control nodes could read at the end");
        }
    }

    private void change() {
        if (caughtUp) {
            return;
        }
        Change c = operators.change(baseVersion);
        operators.order(c, ORDER_TIMEOUT_MS, o -> {
            if (o.taken()) {
                baseVersion = Math.max(baseVersion, c.version());
                acknowledgedChanges++;
                core.checker().count("orders acknowledged");
                if (acknowledgedChanges == CHANGES_BEFORE_FAULT) {
                    beginFault();
                }
                if (acknowledgedChanges >= changes && !returned) {
                    returned = true;
                    endFault();
                }
            }
            if (!caughtUp) {
                core.scheduler().schedule(core.randomBetween(0, 15), this::change);
            }
        });
    }

    private void beginFault() {
        core.log(member.address() + " gets the fault " + kind);
        core.checker().count("schedules past a member, " + kind);
        core.faultBegan(member.address());
        switch (kind) {
            case DOWN -> member.down();
            case WIPED -> member.wipe();
            case CUT -> setLinks(Network.Link.CUT);
            case HELD -> setLinks(Network.Link.HELD);
            case FROZEN -> member.freeze();
            case STALLED_DISK -> member.disk().stallUntil(MAX_LENGTH_MS);
            default -> restart();
        }
    }

    private void restart() {
        if (returned) {
            return;
        }
        member.down();
        core.scheduler().schedule(core.randomBetween(100, 600), () -> {
            member.boot();
            core.scheduler().schedule(core.randomBetween(100, 1200), this::restart);
        });
    }

    private void setLinks(Network.Link way) {
        core.machines().stream().filter(m -> m != member).forEach(m -> {
            core.network().set(m.address(), member.address(), way);
            core.network().set(member.address(), m.address(), way);
        });
    }

    private void endFault() {
        core.log(member.address() + " is back, at version " + member.version() + " of " + baseVersion);
        long behind = Math.max(0, member.version());
        member.startMetering();
        switch (kind) {
            case CUT, HELD -> setLinks(Network.Link.OPEN);
            case FROZEN -> member.thaw();
            case STALLED_DISK -> member.disk().stallUntil(0);
            default -> member.boot();
        }
        returnedAtMs = core.nowMs();
        core.faultEnded(member.address());
        long newest = baseVersion;
        if (core.random().nextBoolean()) {
            sendStaleOrder(behind);
        }
        awaitCatchUp(newest);
    }

    // Sends the member an order built on its stale version, before it has caught up.
    private void sendStaleOrder(long behind) {
        Change c = operators.change(behind);
        core.checker().count("orders put to a member at its return");
        member.runOnLoop(() -> member.replace(c, operators.body(c), verdict -> {
            if (verdict == ConsensusNode.CallResult.TAKEN) {
                // The member was not behind.
                baseVersion = Math.max(baseVersion, c.version());
            }
        }));
    }

    private void awaitCatchUp(long newest) {
        if (core.checker().hasViolations()) {
            return;
        }
        if (member.up() && member.version() >= newest && member.onDiskVersion() >= newest) {
            String size = " (" + kind.condition + (large ? ", 350 routes)" : ", small)");
            core.checker()
                    .sample("a member that is back, ms to the newest on its disk" + size, core.nowMs() - returnedAtMs);
            core.checker().sample("a member that is back, bytes of messages until then" + size, member.meteredBytes());
            caughtUp = true;
        } else if (core.nowMs() - returnedAtMs > Core.SYNC_MS) {
            core.checker().recordViolation("a member (" + kind + ") is behind 4 s after its return");
        } else {
            core.scheduler().schedule(POLL_MS, () -> awaitCatchUp(newest));
        }
    }

    private void read() {
        if (!caughtUp) {
            operators.read(
                    core.randomMachine().address(),
                    d -> baseVersion = d == null ? baseVersion : Math.max(baseVersion, d.version()));
            core.scheduler().schedule(core.randomBetween(100, 600), this::read);
        }
    }
}
