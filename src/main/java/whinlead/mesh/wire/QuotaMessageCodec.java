package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.size;

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

/** How the messages about tenants' limits are written and read. For any thread. */
final class QuotaMessageCodec {
    private QuotaMessageCodec() {}

    static boolean isQuota(PeerMessage message) {
        return message instanceof PeerMessage.QuotaLeaseReport
                || message instanceof PeerMessage.QuotaLeaseGrant
                || message instanceof PeerMessage.QuotaTokenRequest
                || message instanceof PeerMessage.QuotaTokenResponse;
    }

    static void write(MessageBufferPacker p, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.QuotaLeaseReport l) {
            p.packByte(PeerMessageKind.QUOTA_LEASE_REPORT.tag());
            report(p, l.report());
        } else if (message instanceof PeerMessage.QuotaLeaseGrant l) {
            p.packByte(PeerMessageKind.QUOTA_LEASE_GRANT.tag());
            grant(p, l.grant());
        } else if (message instanceof PeerMessage.QuotaTokenRequest l) {
            p.packByte(PeerMessageKind.QUOTA_TOKEN_REQUEST.tag())
                    .packLong(l.request().number())
                    .packString(l.request().tenant());
            allowance(p, l.request().allowance());
        } else if (message instanceof PeerMessage.QuotaTokenResponse l) {
            p.packByte(PeerMessageKind.QUOTA_TOKEN_RESPONSE.tag())
                    .packLong(l.response().number())
                    .packBoolean(l.response().granted())
                    .packFloat((float) l.response().waitMs());
        }
    }

    static PeerMessage read(PeerMessageKind kind, MessageUnpacker u) throws IOException {
        return switch (kind) {
            case QUOTA_LEASE_REPORT -> new PeerMessage.QuotaLeaseReport(report(u));
            case QUOTA_LEASE_GRANT -> new PeerMessage.QuotaLeaseGrant(grant(u));
            case QUOTA_TOKEN_REQUEST ->
                new PeerMessage.QuotaTokenRequest(new TokenRequest(u.unpackLong(), u.unpackString(), allowance(u)));
            case QUOTA_TOKEN_RESPONSE ->
                new PeerMessage.QuotaTokenResponse(
                        new TokenResponse(u.unpackLong(), u.unpackBoolean(), number(u.unpackFloat())));
            default -> throw new IOException(kind + " is not about limits");
        };
    }

    private static void report(MessageBufferPacker p, LeaseReport report) throws IOException {
        p.packLong(report.sidecarLife()).packLong(report.number());
        p.packLong(report.grantorLife()).packLong(report.grantNumber());
        p.packInt(report.needs().size());
        for (QuotaNeed need : report.needs()) {
            p.packString(need.tenant()).packFloat((float) need.demandPerS());
            allowance(p, need.allowance());
            p.packFloat((float) need.returnedTokens()).packDouble(need.heldShare());
        }
        p.packBoolean(report.leaving());
    }

    private static LeaseReport report(MessageUnpacker u) throws IOException {
        long sidecarLife = u.unpackLong();
        long number = u.unpackLong();
        long grantorLife = u.unpackLong();
        long grantNumber = u.unpackLong();
        int n = size(u.unpackInt());
        List<QuotaNeed> needs = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            needs.add(new QuotaNeed(
                    u.unpackString(),
                    number(u.unpackFloat()),
                    allowance(u),
                    number(u.unpackFloat()),
                    number(u.unpackDouble())));
        }
        return new LeaseReport(sidecarLife, number, grantorLife, grantNumber, needs, u.unpackBoolean());
    }

    private static void grant(MessageBufferPacker p, LeaseGrant grant) throws IOException {
        p.packLong(grant.grantorLife()).packLong(grant.number()).packLong(grant.reportNumber());
        p.packInt(grant.shares().size());
        for (QuotaShare share : grant.shares()) {
            p.packString(share.tenant()).packDouble(share.share());
            p.packFloat((float) share.tokens()).packFloat((float) share.demandPerS());
        }
    }

    private static LeaseGrant grant(MessageUnpacker u) throws IOException {
        long grantorLife = u.unpackLong();
        long number = u.unpackLong();
        long reportNumber = u.unpackLong();
        int n = size(u.unpackInt());
        List<QuotaShare> shares = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            shares.add(new QuotaShare(
                    u.unpackString(), number(u.unpackDouble()), number(u.unpackFloat()), number(u.unpackFloat())));
        }
        return new LeaseGrant(grantorLife, number, reportNumber, shares);
    }

    private static void allowance(MessageBufferPacker p, QuotaAllowance allowance) throws IOException {
        p.packFloat((float) allowance.ratePerS())
                .packFloat((float) allowance.depth())
                .packFloat((float) allowance.reserve());
    }

    private static QuotaAllowance allowance(MessageUnpacker u) throws IOException {
        return new QuotaAllowance(number(u.unpackFloat()), number(u.unpackFloat()), number(u.unpackFloat()));
    }

    private static double number(double value) throws IOException {
        if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IOException("a share, a rate or a time of " + value);
        }
        return value;
    }
}
