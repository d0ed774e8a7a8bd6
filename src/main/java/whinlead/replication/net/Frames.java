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
 * Encodes messages between members as frames of their gRPC service ({@code copies.proto}) and decodes them. Decoding
 * throws an {@link IllegalArgumentException} for invalid frames.
 */
public final class Frames {
    private Frames() {}

    /** Encodes a message as a frame of this group. */
    public static Wire.Frame encode(String group, GroupMessage groupMessage) {
        Wire.Frame.Builder builder = Wire.Frame.newBuilder()
                .setGroup(group)
                .setSender(groupMessage.sender())
                .setSenderLife(groupMessage.senderIncarnation())
                .setReceiverLife(groupMessage.receiverIncarnation())
                .setSpeaks(groupMessage.protocolVersion());
        Envelope envelope = groupMessage.envelope();
        if (envelope instanceof Envelope.Consensus e) {
            builder.setConsensus(Messages.encode(e.message()));
        } else if (envelope instanceof Envelope.Forward e) {
            builder.setForward(Wire.Forward.newBuilder().setToken(e.token()).setCommand(Commands.encode(e.command())));
        } else if (envelope instanceof Envelope.ForwardReply e) {
            builder.setAnswer(Wire.Answer.newBuilder().setToken(e.token()).setReply(Commands.encode(e.reply())));
        } else if (envelope instanceof Envelope.Join e) {
            builder.setJoin(Wire.Join.newBuilder().setWho(Messages.encode(e.newcomer())));
        } else if (envelope instanceof Envelope.GroupQuery e) {
            builder.setAsk(Wire.Ask.newBuilder().setNonce(e.nonce()));
        } else if (envelope instanceof Envelope.GroupInfo e) {
            builder.setStanding(Wire.Standing.newBuilder()
                    .setAsked(e.queryNonce())
                    .setNonce(e.nonce())
                    .addAllFirst(encodeIds(e.founders()))
                    .addAllMembers(encodeIds(e.members()))
                    .setIndex(e.membersIndex()));
        } else if (envelope instanceof Envelope.Founded e) {
            builder.setFounded(Wire.Founded.newBuilder().setNonce(e.nonce()).addAllFirst(encodeIds(e.founders())));
        } else if (envelope instanceof Envelope.RoutedCommand e) {
            Wire.Pass.Builder pass = Wire.Pass.newBuilder().setToken(e.token());
            builder.setPass(e.command() == null ? pass : pass.setCommand(Commands.encode(e.command())));
        } else if (envelope instanceof Envelope.RoutedReply e) {
            Wire.Passed.Builder passed = Wire.Passed.newBuilder()
                    .setToken(e.token())
                    .setTime(e.groupTimeMs())
                    .setLeader(e.leader());
            builder.setPassed(e.reply() == null ? passed : passed.setReply(Commands.encode(e.reply())));
        } else if (envelope instanceof Envelope.Invite e) {
            builder.setInvite(Wire.Invite.newBuilder().addAllFirst(encodeIds(e.founders())));
        } else {
            builder.setTaken(Wire.Taken.getDefaultInstance());
        }
        return builder.build();
    }

    /** Decodes a frame; null for a ping, and for kinds that a later version has added. */
    public static GroupMessage decode(Wire.Frame f) {
        MemberId from = new MemberId(f.getSender(), f.getSenderLife());
        Envelope envelope =
                switch (f.getWhatCase()) {
                    case CONSENSUS -> new Envelope.Consensus(Messages.decode(f.getConsensus(), Member.GROUP, from));
                    case FORWARD ->
                        new Envelope.Forward(
                                f.getForward().getToken(),
                                Commands.decodeCommand(f.getForward().getCommand()));
                    case ANSWER ->
                        new Envelope.ForwardReply(
                                f.getAnswer().getToken(),
                                Commands.decodeReply(f.getAnswer().getReply()));
                    case JOIN ->
                        new Envelope.Join(
                                f.getJoin().hasWho() ? Messages.id(f.getJoin().getWho()) : from);
                    case ASK -> new Envelope.GroupQuery(f.getAsk().getNonce());
                    case STANDING ->
                        new Envelope.GroupInfo(
                                f.getStanding().getAsked(),
                                f.getStanding().getNonce(),
                                members(f.getStanding().getFirstList()),
                                members(f.getStanding().getMembersList()),
                                f.getStanding().getIndex());
                    case FOUNDED ->
                        new Envelope.Founded(
                                f.getFounded().getNonce(),
                                members(f.getFounded().getFirstList()));
                    case TAKEN -> new Envelope.NameTaken();
                    case PASS ->
                        new Envelope.RoutedCommand(
                                f.getPass().getToken(),
                                f.getPass().hasCommand()
                                        ? Commands.decodeCommand(f.getPass().getCommand())
                                        : null);
                    case PASSED ->
                        new Envelope.RoutedReply(
                                f.getPassed().getToken(),
                                f.getPassed().hasReply()
                                        ? Commands.decodeReply(f.getPassed().getReply())
                                        : null,
                                f.getPassed().getTime(),
                                f.getPassed().getLeader());
                    case INVITE -> new Envelope.Invite(members(f.getInvite().getFirstList()));
                    case PING, WHAT_NOT_SET -> null;
                };
        return envelope == null
                ? null
                : new GroupMessage(f.getSender(), f.getSenderLife(), f.getReceiverLife(), f.getSpeaks(), envelope);
    }

    private static List<Wire.Id> encodeIds(Collection<MemberId> ids) {
        return Messages.encodeAll(ids);
    }

    private static Set<MemberId> members(List<Wire.Id> ids) {
        return MemberId.sorted(ids.stream().map(Messages::id).toList());
    }
}
