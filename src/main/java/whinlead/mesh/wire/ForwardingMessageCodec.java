package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.bytes;
import static whinlead.mesh.wire.FieldCodec.sendingTime;
import static whinlead.mesh.wire.FieldCodec.strings;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack encoding of forwarded requests, their bodies and their results. For any thread. */
final class ForwardingMessageCodec {
    private static final PeerMessage.FailureReason[] REASONS = PeerMessage.FailureReason.values();
    private static final byte[] NO_BODY = {};

    private ForwardingMessageCodec() {}

    static boolean isAboutForwarding(PeerMessage message) {
        return message instanceof PeerMessage.ForwardRequest
                || message instanceof PeerMessage.ForwardResponse
                || message instanceof PeerMessage.ForwardFailure
                || message instanceof PeerMessage.Cancel
                || isAboutBodies(message);
    }

    private static boolean isAboutBodies(PeerMessage message) {
        return message instanceof PeerMessage.ForwardRequestHead
                || message instanceof PeerMessage.BodyPart
                || message instanceof PeerMessage.BodyCredit;
    }

    /** The first protocol version whose readers know this message's kind. */
    static int minVersion(PeerMessage message) {
        if (isAboutBodies(message)) {
            return ProtocolVersion.BODY_PARTS;
        }
        return message instanceof PeerMessage.Cancel ? ProtocolVersion.TOLERANT : ProtocolVersion.UNVERSIONED;
    }

    static void write(MessageBufferPacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ForwardRequest msg) {
            packer.packByte(PeerMessageKind.FORWARD_REQUEST.tag());
            request(packer, msg, msg.body());
            sendingTime(packer, msg.sentAt());
        } else if (message instanceof PeerMessage.ForwardRequestHead msg) {
            packer.packByte(PeerMessageKind.FORWARD_REQUEST_HEAD.tag());
            request(packer, msg.request(), NO_BODY);
            packer.packLong(msg.bodyBytes());
            sendingTime(packer, msg.request().sentAt());
        } else if (message instanceof PeerMessage.BodyPart msg) {
            packer.packByte(PeerMessageKind.BODY_PART.tag()).packLong(msg.stream());
            bytes(packer, msg.bytes());
            packer.packBoolean(msg.last());
        } else if (message instanceof PeerMessage.BodyCredit msg) {
            packer.packByte(PeerMessageKind.BODY_CREDIT.tag())
                    .packLong(msg.stream())
                    .packInt(msg.bytes());
        } else if (message instanceof PeerMessage.ForwardResponse msg) {
            packer.packByte(PeerMessageKind.FORWARD_RESPONSE.tag())
                    .packLong(msg.stream())
                    .packInt(msg.status());
            strings(packer, msg.headers());
            bytes(packer, msg.body());
            packer.packDouble(msg.util()).packDouble(msg.perSecond());
        } else if (message instanceof PeerMessage.ForwardFailure msg) {
            packer.packByte(PeerMessageKind.FORWARD_FAILURE.tag())
                    .packLong(msg.stream())
                    .packInt(msg.reason().ordinal());
            packer.packDouble(msg.util()).packDouble(msg.perSecond());
        } else if (message instanceof PeerMessage.Cancel msg) {
            packer.packByte(PeerMessageKind.CANCEL.tag()).packLong(msg.stream()).packBoolean(msg.whileRunning());
        }
    }

    // Everything but the sending time, which ends the message.
    private static void request(MessageBufferPacker packer, PeerMessage.ForwardRequest request, byte[] body)
            throws IOException {
        packer.packLong(request.stream()).packString(request.method()).packString(request.uri());
        strings(packer, request.headers());
        bytes(packer, body);
        packer.packInt(request.leftMs())
                .packString(request.target())
                .packString(request.endpoint())
                .packInt(request.rank());
    }

    static PeerMessage read(PeerMessageKind kind, MessageUnpacker unpacker) throws IOException {
        return switch (kind) {
            case FORWARD_REQUEST -> request(unpacker).withSentAt(sendingTime(unpacker));
            case FORWARD_REQUEST_HEAD -> head(unpacker);
            case BODY_PART ->
                new PeerMessage.BodyPart(unpacker.unpackLong(), bytes(unpacker), unpacker.unpackBoolean());
            case BODY_CREDIT -> new PeerMessage.BodyCredit(unpacker.unpackLong(), unpacker.unpackInt());
            case FORWARD_RESPONSE ->
                new PeerMessage.ForwardResponse(
                        unpacker.unpackLong(),
                        unpacker.unpackInt(),
                        strings(unpacker),
                        bytes(unpacker),
                        unpacker.unpackDouble(),
                        unpacker.unpackDouble());
            case FORWARD_FAILURE ->
                new PeerMessage.ForwardFailure(
                        unpacker.unpackLong(),
                        failureReason(unpacker.unpackInt()),
                        unpacker.unpackDouble(),
                        unpacker.unpackDouble());
            case CANCEL -> new PeerMessage.Cancel(unpacker.unpackLong(), unpacker.unpackBoolean());
            default -> throw new IOException(kind + " is not a message about forwarded requests");
        };
    }

    private static PeerMessage.ForwardRequestHead head(MessageUnpacker unpacker) throws IOException {
        PeerMessage.ForwardRequest request = request(unpacker);
        long bodyBytes = unpacker.unpackLong();
        return new PeerMessage.ForwardRequestHead(request.withSentAt(sendingTime(unpacker)), bodyBytes);
    }

    private static PeerMessage.ForwardRequest request(MessageUnpacker unpacker) throws IOException {
        long stream = unpacker.unpackLong();
        String method = unpacker.unpackString();
        String uri = unpacker.unpackString();
        List<String> headers = strings(unpacker);
        byte[] body = bytes(unpacker);
        return new PeerMessage.ForwardRequest(
                stream,
                method,
                uri,
                headers,
                body,
                unpacker.unpackInt(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt());
    }

    // A reason that this version does not know guarantees nothing: the request may have been executed.
    private static PeerMessage.FailureReason failureReason(int number) {
        if (number < 0 || number >= REASONS.length) {
            VersionEvents.PROCESS.logIgnored("unknown reason " + number + " of FORWARD_FAILURE");
            return PeerMessage.FailureReason.BROKEN;
        }
        return REASONS[number];
    }
}
