package whinlead.replication.net;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import whinlead.replication.codec.Commands;
import whinlead.replication.codec.Messages;
import whinlead.replication.raft.Envelope;
import whinlead.replication.raft.GroupMessage;
import whinlead.replication.raft.Member;
import whinlead.replication.raft.MemberId;
import whinlead.replication.wire.Wire;

/**
 * What goes between members as frames of their gRPC service, and back ({@code copies.proto}). What can't be read is an
 * {@link IllegalArgumentException}.
 */
public final class Frames {
    private Frames() {}

    /** A message as a frame of this group. */
    public static Wire.Frame of(String group, GroupMessage groupMessage) {
        Wire.Frame.Builder b = Wire.Frame.newBuilder()
                .setGroup(group)
                .setSender(groupMessage.from())
                .setSenderLife(groupMessage.fromLife())
                .setReceiverLife(groupMessage.toLife())
                .setSpeaks(groupMessage.speaks());
        Envelope what = groupMessage.what();
        if (what instanceof Envelope.Consensus e) {
            b.setConsensus(Messages.of(e.message()));
        } else if (what instanceof Envelope.Forward e) {
            b.setForward(Wire.Forward.newBuilder().setToken(e.token()).setCommand(Commands.of(e.command())));
        } else if (what instanceof Envelope.Answer e) {
            b.setAnswer(Wire.Answer.newBuilder().setToken(e.token()).setReply(Commands.of(e.reply())));
        } else if (what instanceof Envelope.Join e) {
            b.setJoin(Wire.Join.newBuilder().setWho(Messages.of(e.who())));
        } else if (what instanceof Envelope.Ask e) {
            b.setAsk(Wire.Ask.newBuilder().setNonce(e.nonce()));
        } else if (what instanceof Envelope.Standing e) {
            b.setStanding(Wire.Standing.newBuilder()
                    .setAsked(e.asked())
                    .setNonce(e.nonce())
                    .addAllFirst(ids(e.first()))
                    .addAllMembers(ids(e.members()))
                    .setIndex(e.index()));
        } else if (what instanceof Envelope.Founded e) {
            b.setFounded(Wire.Founded.newBuilder().setNonce(e.nonce()).addAllFirst(ids(e.first())));
        } else if (what instanceof Envelope.Pass e) {
            Wire.Pass.Builder pass = Wire.Pass.newBuilder().setToken(e.token());
            b.setPass(e.command() == null ? pass : pass.setCommand(Commands.of(e.command())));
        } else if (what instanceof Envelope.Passed e) {
            Wire.Passed.Builder passed = Wire.Passed.newBuilder()
                    .setToken(e.token())
                    .setTime(e.time())
                    .setLeader(e.leader());
            b.setPassed(e.reply() == null ? passed : passed.setReply(Commands.of(e.reply())));
        } else if (what instanceof Envelope.Invite e) {
            b.setInvite(Wire.Invite.newBuilder().addAllFirst(ids(e.first())));
        } else {
            b.setTaken(Wire.Taken.getDefaultInstance());
        }
        return b.build();
    }

    /** What a frame holds; null for a ping, and for what a later version has added. */
    public static GroupMessage message(Wire.Frame f) {
        MemberId from = new MemberId(f.getSender(), f.getSenderLife());
        Envelope what =
                switch (f.getWhatCase()) {
                    case CONSENSUS -> new Envelope.Consensus(Messages.message(f.getConsensus(), Member.GROUP, from));
                    case FORWARD ->
                        new Envelope.Forward(
                                f.getForward().getToken(),
                                Commands.command(f.getForward().getCommand()));
                    case ANSWER ->
                        new Envelope.Answer(
                                f.getAnswer().getToken(),
                                Commands.reply(f.getAnswer().getReply()));
                    case JOIN ->
                        new Envelope.Join(
                                f.getJoin().hasWho() ? Messages.id(f.getJoin().getWho()) : from);
                    case ASK -> new Envelope.Ask(f.getAsk().getNonce());
                    case STANDING ->
                        new Envelope.Standing(
                                f.getStanding().getAsked(),
                                f.getStanding().getNonce(),
                                members(f.getStanding().getFirstList()),
                                members(f.getStanding().getMembersList()),
                                f.getStanding().getIndex());
                    case FOUNDED ->
                        new Envelope.Founded(
                                f.getFounded().getNonce(),
                                members(f.getFounded().getFirstList()));
                    case TAKEN -> new Envelope.Taken();
                    case PASS ->
                        new Envelope.Pass(
                                f.getPass().getToken(),
                                f.getPass().hasCommand()
                                        ? Commands.command(f.getPass().getCommand())
                                        : null);
                    case PASSED ->
                        new Envelope.Passed(
                                f.getPassed().getToken(),
                                f.getPassed().hasReply()
                                        ? Commands.reply(f.getPassed().getReply())
                                        : null,
                                f.getPassed().getTime(),
                                f.getPassed().getLeader());
                    case INVITE -> new Envelope.Invite(members(f.getInvite().getFirstList()));
                    case PING, WHAT_NOT_SET -> null;
                };
        return what == null
                ? null
                : new GroupMessage(f.getSender(), f.getSenderLife(), f.getReceiverLife(), f.getSpeaks(), what);
    }

    private static List<Wire.Id> ids(Collection<MemberId> ids) {
        return Messages.all(ids);
    }

    private static Set<MemberId> members(List<Wire.Id> ids) {
        return MemberId.sorted(ids.stream().map(Messages::id).toList());
    }
}
