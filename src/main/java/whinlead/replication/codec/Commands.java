package whinlead.replication.codec;

import java.util.List;
import whinlead.replication.Command;
import whinlead.replication.ReplicatedState;
import whinlead.replication.Reply;
import whinlead.replication.raft.Member;
import whinlead.replication.wire.Wire;

/**
 * Encodes commands, replies and snapshot entries as protobuf messages ({@code copies.proto}) and decodes them. Decoding
 * throws an {@link IllegalArgumentException} for invalid messages.
 */
public final class Commands {
    private static final Command.AttemptOutcome[] ATTEMPT_OUTCOMES = Command.AttemptOutcome.values();
    private static final Command.Ending[] ENDINGS = Command.Ending.values();

    private Commands() {}

    static Wire.Batch encode(Member.Batch batch) {
        Wire.Batch.Builder builder = Wire.Batch.newBuilder().setStamp(batch.stampMs());
        batch.commands().forEach(c -> builder.addCommands(encode(c)));
        return builder.build();
    }

    static Member.Batch decodeBatch(Wire.Batch batch) {
        return new Member.Batch(
                batch.getStamp(),
                batch.getCommandsList().stream().map(Commands::decodeCommand).toList());
    }

    private static Wire.Attempt encode(Command.Attempt attempt) {
        return Wire.Attempt.newBuilder()
                .setOwner(attempt.owner())
                .setNumber(attempt.number())
                .build();
    }

    private static Command.Attempt decodeAttempt(Wire.Attempt attempt) {
        return new Command.Attempt(attempt.getOwner(), attempt.getNumber());
    }

    private static Command.Guard decodeGuard(boolean keyed) {
        return keyed ? Command.Guard.KEYED : Command.Guard.UNSAFE;
    }

    /** Encodes a command. */
    public static Wire.Command encode(Command command) {
        Wire.Command.Builder builder = Wire.Command.newBuilder();
        if (command instanceof Command.Allow c) {
            builder.setAllow(Wire.Allow.newBuilder()
                    .setId(c.id())
                    .setCaller(c.caller())
                    .setKeyed(c.guard() == Command.Guard.KEYED)
                    .setAttempt(encode(c.attempt()))
                    .addAllNeverRan(c.neverRan())
                    .setEndpoint(c.endpoint())
                    .setLeft(c.remainingMs())
                    .setUntil(c.validUntilMs())
                    .setAnew(c.retryAfterRefusal()));
        } else if (command instanceof Command.Withdraw c) {
            builder.setWithdraw(Wire.Withdraw.newBuilder()
                    .setId(c.id())
                    .setAttempt(encode(c.attempt()))
                    .setLeft(c.remainingMs()));
        } else if (command instanceof Command.Report c) {
            builder.setReport(Wire.Report.newBuilder()
                    .setId(c.id())
                    .setIndex(c.attemptIndex())
                    .setHow(c.outcome().ordinal()));
        } else if (command instanceof Command.End c) {
            builder.setEnd(Wire.End.newBuilder()
                    .setId(c.id())
                    .setEnding(c.ending().ordinal())
                    .setOwner(c.owner())
                    .addAllNeverRan(c.neverRan()));
        } else if (command instanceof Command.Refuse c) {
            builder.setRefuse(Wire.Refuse.newBuilder()
                    .setId(c.id())
                    .setCaller(c.caller())
                    .setKeyed(c.guard() == Command.Guard.KEYED)
                    .setOwner(c.owner())
                    .addAllNeverRan(c.neverRan())
                    .setLeft(c.remainingMs()));
        } else if (command instanceof Command.Drain c) {
            builder.setDrain(Wire.Drain.newBuilder().setEndpoint(c.endpoint()).setLasts(c.durationMs()));
        } else {
            builder.setTick(Wire.Tick.getDefaultInstance());
        }
        return builder.build();
    }

    /** Decodes a command. */
    public static Command decodeCommand(Wire.Command command) {
        return switch (command.getWhatCase()) {
            case ALLOW -> {
                Wire.Allow allow = command.getAllow();
                yield new Command.Allow(
                        allow.getId(),
                        allow.getCaller(),
                        decodeGuard(allow.getKeyed()),
                        decodeAttempt(allow.getAttempt()),
                        allow.getNeverRanList(),
                        allow.getEndpoint(),
                        allow.getLeft(),
                        allow.getUntil(),
                        allow.getAnew());
            }
            case WITHDRAW ->
                new Command.Withdraw(
                        command.getWithdraw().getId(),
                        decodeAttempt(command.getWithdraw().getAttempt()),
                        command.getWithdraw().getLeft());
            case REPORT ->
                new Command.Report(
                        command.getReport().getId(),
                        command.getReport().getIndex(),
                        ATTEMPT_OUTCOMES[checkKind(command.getReport().getHow(), ATTEMPT_OUTCOMES.length)]);
            case END ->
                new Command.End(
                        command.getEnd().getId(),
                        decodeEnding(command.getEnd().getEnding()),
                        command.getEnd().getOwner(),
                        command.getEnd().getNeverRanList());
            case REFUSE ->
                new Command.Refuse(
                        command.getRefuse().getId(),
                        command.getRefuse().getCaller(),
                        decodeGuard(command.getRefuse().getKeyed()),
                        command.getRefuse().getOwner(),
                        command.getRefuse().getNeverRanList(),
                        command.getRefuse().getLeft());
            case DRAIN ->
                new Command.Drain(
                        command.getDrain().getEndpoint(), command.getDrain().getLasts());
            case TICK -> new Command.Tick();
            // Ignoring a command of a later version would make this member's state diverge.
            case WHAT_NOT_SET -> throw new IllegalArgumentException("command of unknown kind");
        };
    }

    private static int checkKind(int number, int kinds) {
        if (number < 0 || number >= kinds) {
            throw new IllegalArgumentException("enum number out of range");
        }
        return number;
    }

    private static Command.Ending decodeEnding(int number) {
        return ENDINGS[checkKind(number, ENDINGS.length)];
    }

    /** Encodes a reply. */
    public static Wire.Reply encode(Reply reply) {
        Wire.Reply.Builder builder = Wire.Reply.newBuilder();
        if (reply instanceof Reply.Granted r) {
            return builder.setKind(Wire.Reply.Kind.GRANTED).setNumber(r.index()).build();
        } else if (reply instanceof Reply.Over r) {
            return builder.setKind(Wire.Reply.Kind.OVER)
                    .setNumber(r.ending().ordinal())
                    .build();
        }
        return builder.setKind(
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

    /** Decodes a reply. */
    public static Reply decodeReply(Wire.Reply reply) {
        return switch (reply.getKind()) {
            case GRANTED -> new Reply.Granted(reply.getNumber());
            case OUT -> new Reply.Out();
            case OVER -> new Reply.Over(decodeEnding(reply.getNumber()));
            case LATE -> new Reply.Late();
            case FULL -> new Reply.Full();
            case DRAINS -> new Reply.Drains();
            case FREE -> new Reply.Free();
            case NOTED -> new Reply.Noted();
            case UNSPOKEN, UNRECOGNIZED -> throw new IllegalArgumentException("reply of unknown kind");
        };
    }

    static Wire.Request encode(ReplicatedState.Entry entry) {
        Wire.Request.Builder builder = Wire.Request.newBuilder()
                .setId(entry.id())
                .setCaller(entry.caller())
                .setKeyed(entry.guard() == Command.Guard.KEYED)
                .addAllNeverRan(entry.neverRan())
                .setEnded(entry.ending() == null ? 0 : entry.ending().ordinal() + 1)
                .setDue(entry.dueMs());
        entry.attempts().forEach(attempt -> builder.addAttempts(encode(attempt)));
        return builder.build();
    }

    static ReplicatedState.Entry decodeEntry(Wire.Request request) {
        if (request.getAttemptsCount() != request.getNeverRanCount()) {
            throw new IllegalArgumentException("snapshot entry has different numbers of attempts and never-ran flags");
        }
        return new ReplicatedState.Entry(
                request.getId(),
                request.getCaller(),
                decodeGuard(request.getKeyed()),
                request.getAttemptsList().stream().map(Commands::decodeAttempt).toList(),
                List.copyOf(request.getNeverRanList()),
                request.getEnded() == 0 ? null : decodeEnding(request.getEnded() - 1),
                request.getDue());
    }
}
