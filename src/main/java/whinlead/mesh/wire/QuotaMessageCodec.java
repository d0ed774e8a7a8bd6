package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.checkedSize;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.quota.LeaseGrant;
import whinlead.mesh.quota.LeaseReport;
import whinlead.mesh.quota.QuotaAllowance;
import whinlead.mesh.quota.QuotaNeed;
import whinlead.mesh.quota.QuotaShare;
import whinlead.mesh.quota.TokenRequest;
import whinlead.mesh.quota.TokenResponse;

/** MessagePack encoding of messages about tenants' limits. For any thread. */
final class QuotaMessageCodec {
    private QuotaMessageCodec() {}

    static boolean isAboutQuota(PeerMessage message) {
        return message instanceof PeerMessage.QuotaLeaseReport
                || message instanceof PeerMessage.QuotaLeaseGrant
                || message instanceof PeerMessage.QuotaTokenRequest
                || message instanceof PeerMessage.QuotaTokenResponse;
    }

    static void write(MessageBufferPacker packer, PeerMessage peerMessage) throws IOException {
        if (peerMessage instanceof PeerMessage.QuotaLeaseReport message) {
            packer.packByte(PeerMessageKind.QUOTA_LEASE_REPORT.tag());
            report(packer, message.report());
        } else if (peerMessage instanceof PeerMessage.QuotaLeaseGrant message) {
            packer.packByte(PeerMessageKind.QUOTA_LEASE_GRANT.tag());
            grant(packer, message.grant());
        } else if (peerMessage instanceof PeerMessage.QuotaTokenRequest message) {
            packer.packByte(PeerMessageKind.QUOTA_TOKEN_REQUEST.tag())
                    .packLong(message.request().number())
                    .packString(message.request().tenant());
            allowance(packer, message.request().allowance());
        } else if (peerMessage instanceof PeerMessage.QuotaTokenResponse message) {
            packer.packByte(PeerMessageKind.QUOTA_TOKEN_RESPONSE.tag())
                    .packLong(message.response().number())
                    .packBoolean(message.response().granted())
                    .packFloat((float) message.response().waitMs());
        }
    }

    static PeerMessage read(PeerMessageKind kind, MessageUnpacker unpacker) throws IOException {
        return switch (kind) {
            case QUOTA_LEASE_REPORT -> new PeerMessage.QuotaLeaseReport(report(unpacker));
            case QUOTA_LEASE_GRANT -> new PeerMessage.QuotaLeaseGrant(grant(unpacker));
            case QUOTA_TOKEN_REQUEST ->
                new PeerMessage.QuotaTokenRequest(
                        new TokenRequest(unpacker.unpackLong(), unpacker.unpackString(), allowance(unpacker)));
            case QUOTA_TOKEN_RESPONSE ->
                new PeerMessage.QuotaTokenResponse(new TokenResponse(
                        unpacker.unpackLong(), unpacker.unpackBoolean(), checkedNumber(unpacker.unpackFloat())));
            default -> throw new IOException(kind + " is not a message about tenants' limits");
        };
    }

    private static void report(MessageBufferPacker packer, LeaseReport report) throws IOException {
        packer.packLong(report.sidecarLife()).packLong(report.number());
        packer.packLong(report.grantorLife()).packLong(report.grantNumber());
        packer.packInt(report.needs().size());
        for (QuotaNeed need : report.needs()) {
            packer.packString(need.tenant()).packFloat((float) need.demandPerS());
            allowance(packer, need.allowance());
            packer.packFloat((float) need.returnedTokens()).packDouble(need.heldShare());
        }
        packer.packBoolean(report.leaving());
    }

    private static LeaseReport report(MessageUnpacker unpacker) throws IOException {
        long sidecarLife = unpacker.unpackLong();
        long number = unpacker.unpackLong();
        long grantorLife = unpacker.unpackLong();
        long grantNumber = unpacker.unpackLong();
        int size = checkedSize(unpacker.unpackInt());
        List<QuotaNeed> needs = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            needs.add(new QuotaNeed(
                    unpacker.unpackString(),
                    checkedNumber(unpacker.unpackFloat()),
                    allowance(unpacker),
                    checkedNumber(unpacker.unpackFloat()),
                    checkedNumber(unpacker.unpackDouble())));
        }
        return new LeaseReport(sidecarLife, number, grantorLife, grantNumber, needs, unpacker.unpackBoolean());
    }

    private static void grant(MessageBufferPacker packer, LeaseGrant grant) throws IOException {
        packer.packLong(grant.grantorLife()).packLong(grant.number()).packLong(grant.reportNumber());
        packer.packInt(grant.shares().size());
        for (QuotaShare share : grant.shares()) {
            packer.packString(share.tenant()).packDouble(share.share());
            packer.packFloat((float) share.tokens()).packFloat((float) share.demandPerS());
        }
    }

    private static LeaseGrant grant(MessageUnpacker unpacker) throws IOException {
        long grantorLife = unpacker.unpackLong();
        long number = unpacker.unpackLong();
        long reportNumber = unpacker.unpackLong();
        int size = checkedSize(unpacker.unpackInt());
        List<QuotaShare> shares = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            shares.add(new QuotaShare(
                    unpacker.unpackString(),
                    checkedNumber(unpacker.unpackDouble()),
                    checkedNumber(unpacker.unpackFloat()),
                    checkedNumber(unpacker.unpackFloat())));
        }
        return new LeaseGrant(grantorLife, number, reportNumber, shares);
    }

    private static void allowance(MessageBufferPacker packer, QuotaAllowance allowance) throws IOException {
        packer.packFloat((float) allowance.ratePerS())
                .packFloat((float) allowance.depth())
                .packFloat((float) allowance.reserve());
    }

    private static QuotaAllowance allowance(MessageUnpacker unpacker) throws IOException {
        return new QuotaAllowance(
                checkedNumber(unpacker.unpackFloat()),
                checkedNumber(unpacker.unpackFloat()),
                checkedNumber(unpacker.unpackFloat()));
    }

    private static double checkedNumber(double value) throws IOException {
        if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IOException("invalid share, rate or time " + value);
        }
        return value;
    }
}
