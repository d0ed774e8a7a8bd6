package whinlead.replication.codec;

import java.util.List;
import whinlead.replication.Command;
import whinlead.replication.ReplicatedState;
import whinlead.replication.Reply;
import whinlead.replication.raft.Member;
import whinlead.replication.wire.Wire;

/**
 * Commands, replies and pieces of snapshots as protobuf messages and back ({@code copies.proto}). What can't be read is
 * an {@link IllegalArgumentException}.
 */
public final class Commands {
    private static final Command.How[] HOWS = Command.How.values();
    private static final Command.Ending[] ENDINGS = Command.Ending.values();

    private Commands() {}

    static Wire.Batch of(Member.Batch batch) {
        Wire.Batch.Builder b = Wire.Batch.newBuilder().setStamp(batch.stamp());
        batch.commands().forEach(c -> b.addCommands(of(c)));
        return b.build();
    }

    static Member.Batch batch(Wire.Batch b) {
        return new Member.Batch(
                b.getStamp(),
                b.getCommandsList().stream().map(Commands::command).toList());
    }

    private static Wire.Attempt of(Command.Attempt a) {
        return Wire.Attempt.newBuilder()
                .setOwner(a.owner())
                .setNumber(a.number())
                .build();
    }

    private static Command.Attempt attempt(Wire.Attempt a) {
        return new Command.Attempt(a.getOwner(), a.getNumber());
    }

    private static Command.Guard guard(boolean keyed) {
        return keyed ? Command.Guard.KEYED : Command.Guard.UNSAFE;
    }

    /** What is asked of a group. */
    public static Wire.Command of(Command command) {
        Wire.Command.Builder b = Wire.Command.newBuilder();
        if (command instanceof Command.Allow c) {
            b.setAllow(Wire.Allow.newBuilder()
                    .setId(c.id())
                    .setCaller(c.caller())
                    .setKeyed(c.guard() == Command.Guard.KEYED)
                    .setAttempt(of(c.attempt()))
                    .addAllNeverRan(c.neverRan())
                    .setEndpoint(c.endpoint())
                    .setLeft(c.left())
                    .setUntil(c.until())
                    .setAnew(c.anew()));
        } else if (command instanceof Command.Withdraw c) {
            b.setWithdraw(Wire.Withdraw.newBuilder()
                    .setId(c.id())
                    .setAttempt(of(c.attempt()))
                    .setLeft(c.left()));
        } else if (command instanceof Command.Report c) {
            b.setReport(Wire.Report.newBuilder()
                    .setId(c.id())
                    .setIndex(c.index())
                    .setHow(c.how().ordinal()));
        } else if (command instanceof Command.End c) {
            b.setEnd(Wire.End.newBuilder()
                    .setId(c.id())
                    .setEnding(c.ending().ordinal())
                    .setOwner(c.owner())
                    .addAllNeverRan(c.neverRan()));
        } else if (command instanceof Command.Refuse c) {
            b.setRefuse(Wire.Refuse.newBuilder()
                    .setId(c.id())
                    .setCaller(c.caller())
                    .setKeyed(c.guard() == Command.Guard.KEYED)
                    .setOwner(c.owner())
                    .addAllNeverRan(c.neverRan())
                    .setLeft(c.left()));
        } else if (command instanceof Command.Drain c) {
            b.setDrain(Wire.Drain.newBuilder().setEndpoint(c.endpoint()).setLasts(c.lasts()));
        } else {
            b.setTick(Wire.Tick.getDefaultInstance());
        }
        return b.build();
    }

    /** The same back. */
    public static Command command(Wire.Command c) {
        return switch (c.getWhatCase()) {
            case ALLOW -> {
                Wire.Allow a = c.getAllow();
                yield new Command.Allow(
                        a.getId(),
                        a.getCaller(),
                        guard(a.getKeyed()),
                        attempt(a.getAttempt()),
                        a.getNeverRanList(),
                        a.getEndpoint(),
                        a.getLeft(),
                        a.getUntil(),
                        a.getAnew());
            }
            case WITHDRAW ->
                new Command.Withdraw(
                        c.getWithdraw().getId(),
                        attempt(c.getWithdraw().getAttempt()),
                        c.getWithdraw().getLeft());
            case REPORT ->
                new Command.Report(
                        c.getReport().getId(),
                        c.getReport().getIndex(),
                        HOWS[within(c.getReport().getHow(), HOWS.length)]);
            case END ->
                new Command.End(
                        c.getEnd().getId(),
                        ending(c.getEnd().getEnding()),
                        c.getEnd().getOwner(),
                        c.getEnd().getNeverRanList());
            case REFUSE ->
                new Command.Refuse(
                        c.getRefuse().getId(),
                        c.getRefuse().getCaller(),
                        guard(c.getRefuse().getKeyed()),
                        c.getRefuse().getOwner(),
                        c.getRefuse().getNeverRanList(),
                        c.getRefuse().getLeft());
            case DRAIN ->
                new Command.Drain(c.getDrain().getEndpoint(), c.getDrain().getLasts());
            case TICK -> new Command.Tick();
            // One that this version does not know would make its book another than the rest's.
            case WHAT_NOT_SET -> throw new IllegalArgumentException("a command of no known kind");
        };
    }

    private static int within(int number, int kinds) {
        if (number < 0 || number >= kinds) {
            throw new IllegalArgumentException("a number of no known kind");
        }
        return number;
    }

    private static Command.Ending ending(int number) {
        return ENDINGS[within(number, ENDINGS.length)];
    }

    /** What a group says to it. */
    public static Wire.Reply of(Reply reply) {
        Wire.Reply.Builder b = Wire.Reply.newBuilder();
        if (reply instanceof Reply.Granted r) {
            return b.setKind(Wire.Reply.Kind.GRANTED).setNumber(r.index()).build();
        } else if (reply instanceof Reply.Over r) {
            return b.setKind(Wire.Reply.Kind.OVER)
                    .setNumber(r.ending().ordinal())
                    .build();
        }
        return b.setKind(
                        reply instanceof Reply.Out
                                ? Wire.Reply.Kind.OUT
                                : reply instanceof Reply.Late
                                        ? Wire.Reply.Kind.LATE
                                        : reply instanceof Reply.Full
                                                ? Wire.Reply.Kind.FULL
                                                : reply instanceof Reply.Drains
                                                        ? Wire.Reply.Kind.DRAINS
                                                        : reply instanceof Reply.Free
                                                                ? Wire.Reply.Kind.FREE
                                                                : Wire.Reply.Kind.NOTED)
                .build();
    }

    /** The same back. */
    public static Reply reply(Wire.Reply r) {
        return switch (r.getKind()) {
            case GRANTED -> new Reply.Granted(r.getNumber());
            case OUT -> new Reply.Out();
            case OVER -> new Reply.Over(ending(r.getNumber()));
            case LATE -> new Reply.Late();
            case FULL -> new Reply.Full();
            case DRAINS -> new Reply.Drains();
            case FREE -> new Reply.Free();
            case NOTED -> new Reply.Noted();
            case UNSPOKEN, UNRECOGNIZED -> throw new IllegalArgumentException("a reply of no known kind");
        };
    }

    static Wire.Request of(ReplicatedState.Entry e) {
        Wire.Request.Builder b = Wire.Request.newBuilder()
                .setId(e.id())
                .setCaller(e.caller())
                .setKeyed(e.guard() == Command.Guard.KEYED)
                .addAllNeverRan(e.neverRan())
                .setEnded(e.ending() == null ? 0 : e.ending().ordinal() + 1)
                .setDue(e.due());
        e.attempts().forEach(a -> b.addAttempts(of(a)));
        return b.build();
    }

    static ReplicatedState.Entry entry(Wire.Request r) {
        if (r.getAttemptsCount() != r.getNeverRanCount()) {
            throw new IllegalArgumentException("attempts of which it isn't told whether they ran");
        }
        return new ReplicatedState.Entry(
                r.getId(),
                r.getCaller(),
                guard(r.getKeyed()),
                r.getAttemptsList().stream().map(Commands::attempt).toList(),
                List.copyOf(r.getNeverRanList()),
                r.getEnded() == 0 ? null : ending(r.getEnded() - 1),
                r.getDue());
    }
}
