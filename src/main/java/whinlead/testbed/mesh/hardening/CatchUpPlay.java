package whinlead.testbed.mesh.hardening;

import java.nio.charset.StandardCharsets;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.control.ConfigCodec;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * Point 4: three hundred changes and more while one member is down, cut off, frozen, at a stalled disk, or restarted
 * again and again; then it is back, and has to catch up, in bytes and milliseconds; what is ordered of it while it is
 * behind must not stand; and all power goes. One schedule, one thread.
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

        private final String after;

        Kind(String after) {
            this.after = after;
        }
    }

    private static final int LEAST = 300;
    private static final int SPREAD = 60;
    private static final int FIRST = 8;
    private static final double LOOK = 5;
    private static final double PATIENCE = 8000;
    private static final double MOST = 120_000;
    private static final int ROUTES = 350;
    private static final byte[] LARGE = ConfigCodec.deflate(routes().getBytes(StandardCharsets.UTF_8));

    private final Core core;
    private final Operators operators;
    private final Faults faults;
    private final Kind kind;
    private final boolean large;
    private final int changes;
    private Machine member;
    private int made;
    private long base;
    private boolean back;
    private boolean ready;
    private double backAt;
    private int closed;

    private CatchUpPlay(long seed, Bug bug, Trace trace) {
        core = new Core(seed, bug, trace, 3);
        large = seed % 2 == 0;
        operators = new Operators(core, 0, large ? LARGE : new byte[0]);
        faults = new Faults(core, 1, Core.SYNC);
        kind = Kind.values()[core.random().nextInt(Kind.values().length)];
        changes = LEAST + core.random().nextInt(SPREAD);
    }

    // As an operator writes them: alike, but for names and a few figures.
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

    /** Plays one. */
    static Outcome play(long seed, Bug bug, Trace trace) {
        return new CatchUpPlay(seed, bug, trace).play();
    }

    private Outcome play() {
        member = core.any();
        operators.stay();
        core.agenda().in(core.between(0, 300), this::change);
        core.agenda().in(core.between(0, 300), this::read);
        core.agenda().run(MOST, () -> ready || core.checker().anyBroken());
        if (!core.checker().anyBroken() && !ready) {
            core.checker().broke("only " + made + " of " + changes + " changes in two minutes");
        }
        // Those under way come to their end, and the member has had its SyncS.
        core.agenda().run(core.now() + PATIENCE, core.checker()::anyBroken);
        for (int i = 0; i < 2 && !core.checker().anyBroken(); i++) {
            lose(i);
        }
        if (!core.checker().anyBroken()) {
            close();
        }
        core.checker().judgeHistory();
        return core.checker().outcome();
    }

    // After one more change the power goes, of all, and of one the disk.
    private void lose(int disks) {
        boolean[] taken = {false};
        core.machines()
                .forEach(m -> operators.read(m.address(), d -> base = d == null ? base : Math.max(base, d.version())));
        core.agenda().run(core.now() + Core.CONTACT, core.checker()::anyBroken);
        operators.order(operators.change(base), PATIENCE, o -> {
            taken[0] = o.taken();
            if (o.taken()) {
                base = o.change().version();
                faults.blackout(disks);
            }
        });
        core.agenda().run(core.now() + PATIENCE + Core.ACK, core.checker()::anyBroken);
        if (!taken[0] && !core.checker().anyBroken()) {
            core.checker().broke("a change was not taken after the member was back");
        }
    }

    private void close() {
        core.machines().forEach(m -> operators.read(m.address(), d -> closed += d == null ? 0 : 1));
        core.agenda().run(core.now() + Core.ACK, core.checker()::anyBroken);
        if (closed < core.machines().size() && !core.checker().anyBroken()) {
            core.checker().broke("only " + closed + " control nodes could read at the end");
        }
    }

    private void change() {
        if (ready) {
            return;
        }
        Change c = operators.change(base);
        operators.order(c, PATIENCE, o -> {
            if (o.taken()) {
                base = Math.max(base, c.version());
                made++;
                core.checker().count("orders acknowledged");
                if (made == FIRST) {
                    trouble();
                }
                if (made >= changes && !back) {
                    back = true;
                    ease();
                }
            }
            if (!ready) {
                core.agenda().in(core.between(0, 15), this::change);
            }
        });
    }

    private void trouble() {
        core.tell(member.address() + " has its trouble: " + kind);
        core.checker().count("schedules past a member, " + kind);
        core.troubled(member.address());
        switch (kind) {
            case DOWN -> member.down();
            case WIPED -> member.wipe();
            case CUT -> ways(Network.Way.CUT);
            case HELD -> ways(Network.Way.HELD);
            case FROZEN -> member.freeze();
            case STALLED_DISK -> member.disk().stall(MOST);
            default -> restart();
        }
    }

    private void restart() {
        if (back) {
            return;
        }
        member.down();
        core.agenda().in(core.between(100, 600), () -> {
            member.boot();
            core.agenda().in(core.between(100, 1200), this::restart);
        });
    }

    private void ways(Network.Way way) {
        core.machines().stream().filter(m -> m != member).forEach(m -> {
            core.network().set(m.address(), member.address(), way);
            core.network().set(member.address(), m.address(), way);
        });
    }

    private void ease() {
        core.tell(member.address() + " is back, at version " + member.version() + " of " + base);
        long behind = Math.max(0, member.version());
        member.meter();
        switch (kind) {
            case CUT, HELD -> ways(Network.Way.OPEN);
            case FROZEN -> member.thaw();
            case STALLED_DISK -> member.disk().stall(0);
            default -> member.boot();
        }
        backAt = core.now();
        core.eased(member.address());
        long newest = base;
        if (core.random().nextBoolean()) {
            stale(behind);
        }
        await(newest);
    }

    // An order on what it knows, before it has caught up.
    private void stale(long behind) {
        Change c = operators.change(behind);
        core.checker().count("orders put to a member at its return");
        member.loop(() -> member.replace(c, operators.body(c), verdict -> {
            if (verdict == ConsensusNode.CallResult.TAKEN) {
                // It was not behind.
                base = Math.max(base, c.version());
            }
        }));
    }

    private void await(long newest) {
        if (core.checker().anyBroken()) {
            return;
        }
        if (member.up() && member.version() >= newest && member.onDiskVersion() >= newest) {
            String size = " (" + kind.after + (large ? ", 350 routes)" : ", small)");
            core.checker().sample("a member that is back, ms to the newest on its disk" + size, core.now() - backAt);
            core.checker().sample("a member that is back, bytes of messages until then" + size, member.metered());
            ready = true;
        } else if (core.now() - backAt > Core.SYNC) {
            core.checker().broke("a member (" + kind + ") is behind 4 s after its return");
        } else {
            core.agenda().in(LOOK, () -> await(newest));
        }
    }

    private void read() {
        if (!ready) {
            operators.read(core.any().address(), d -> base = d == null ? base : Math.max(base, d.version()));
            core.agenda().in(core.between(100, 600), this::read);
        }
    }
}
