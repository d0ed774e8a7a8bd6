package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.departure.Departure;
import whinlead.mesh.duty.DutyRequest;
import whinlead.mesh.duty.DutyVote;
import whinlead.mesh.keys.HeldKeys;
import whinlead.mesh.keys.KeyLease;
import whinlead.mesh.keys.KeyLoad;
import whinlead.mesh.keys.KeyRange;
import whinlead.mesh.keys.KeyReport;
import whinlead.mesh.keys.KeyRoute;
import whinlead.mesh.keys.LeasedKeys;
import whinlead.mesh.keys.ReleasedKeys;
import whinlead.mesh.log.Event;
import whinlead.mesh.quota.LeaseGrant;
import whinlead.mesh.quota.LeaseReport;
import whinlead.mesh.quota.QuotaAllowance;
import whinlead.mesh.quota.QuotaNeed;
import whinlead.mesh.quota.QuotaShare;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.quota.TokenRequest;
import whinlead.mesh.quota.TokenResponse;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.wire.AcceptorRecord;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;

/** PeerMessageCodec come back as they were written; bytes that are none are told so and do no other harm. */
public class PeerMessageCodecTest {
    private static final Decision DECISION = new Decision(
            7,
            12,
            new byte[] {1, 2, 3},
            List.of(new Decision.AppliedVersion(12, "d")),
            List.of("10.0.0.1#0", "10.0.0.2#a"));
    private static final Ballot BALLOT = new Ballot(3, "10.0.0.1#0");

    private static List<PeerMessage> messages() {
        return List.of(
                new PeerMessage.Hello("n", true),
                new PeerMessage.EndpointUpdate(
                        List.of(new EndpointRecord("n", 1, 2, "z", "i", "s", EndpointRecord.Phase.DRAINING, 6, 5))),
                new PeerMessage.Subscribe(-1),
                new PeerMessage.ConfigAvailable(8),
                new PeerMessage.FetchConfig(),
                new PeerMessage.ConfigUpdate(DECISION, true),
                new PeerMessage.Ping(1),
                new PeerMessage.Ping(1, -5),
                new PeerMessage.Pong(1, "10.0.0.1#0", 7),
                new PeerMessage.FindControlNodes(),
                new PeerMessage.ControlNodes(List.of("10.0.0.1")),
                new PeerMessage.Consensus(new Message.Prepare(8, BALLOT)),
                new PeerMessage.Consensus(new Message.Promise(8, BALLOT, null)),
                new PeerMessage.Consensus(new Message.Promise(8, BALLOT, new Message.Vote(BALLOT, DECISION))),
                new PeerMessage.Consensus(new Message.Accept(BALLOT, DECISION)),
                new PeerMessage.Consensus(new Message.Accepted(8, BALLOT)),
                new PeerMessage.Consensus(new Message.Nack(8, BALLOT, BALLOT)),
                new PeerMessage.Consensus(new Message.Lagging(8, -1)),
                new PeerMessage.Consensus(new Message.Decided(DECISION)),
                new PeerMessage.Consensus(new Message.Query(5, 3)),
                new PeerMessage.Consensus(new Message.State(5, 3, true)),
                new PeerMessage.Consensus(new Message.Query(5, 3, List.of("10.0.0.1#0", "10.0.0.2#a"))),
                new PeerMessage.Consensus(new Message.State(
                        5,
                        3,
                        true,
                        List.of(
                                new Message.Opinion("10.0.0.1#0", Message.Reachability.SILENT),
                                new Message.Opinion("10.0.0.2#a", Message.Reachability.REACHED)))),
                new PeerMessage.Consensus(new Message.Join(6)),
                new PeerMessage.DemandReport(List.of(new TenantDemand("t", 0.5)), true),
                new PeerMessage.DemandSums(3, List.of(new TenantDemand("t", 0.5))),
                new PeerMessage.ForwardFailure(4, PeerMessage.FailureReason.MOVED, 0.5, 2),
                new PeerMessage.Cancel(4, true),
                new PeerMessage.BodyCredit(4, 65536),
                new PeerMessage.DepartureReport(List.of("i-1", "i-2")),
                new PeerMessage.DeparturesStored("10.0.0.1#0", List.of("i-1")),
                new PeerMessage.DepartureUpdate(List.of(new Departure("n", "i-1"))),
                new PeerMessage.QuotaLeaseReport(new LeaseReport(
                        7, 3, -9, 2, List.of(new QuotaNeed("t", 0.5, new QuotaAllowance(37.5, 41, 9), 0.5, 0.125)))),
                new PeerMessage.QuotaLeaseGrant(new LeaseGrant(-9, 4, 3, List.of(new QuotaShare("t", 0.25, 1.5, 12)))),
                new PeerMessage.QuotaTokenRequest(new TokenRequest(8, "t", new QuotaAllowance(37.5, 41, 9))),
                new PeerMessage.QuotaTokenResponse(new TokenResponse(8, false, 20)));
    }

    private static List<PeerMessage> messagesAboutKeys() {
        return List.of(
                new PeerMessage.DutyVoteRequest(new DutyRequest(4, 64)),
                new PeerMessage.DutyVoteResponse(new DutyVote(4, true, 64, true)),
                new PeerMessage.KeyGrantorChanged(64),
                new PeerMessage.KeyLeaseReport(new KeyReport(
                        7,
                        3,
                        "s",
                        "i",
                        6,
                        true,
                        2.5,
                        List.of(new HeldKeys(KeyRange.ALL, 1L << 40, true)),
                        List.of(new ReleasedKeys(new KeyRange(3, 3), 9, "5c0e")),
                        List.of(new KeyLoad(new KeyRange(0, 9), 1.5)))),
                new PeerMessage.KeyLeaseGrant(new KeyLease(
                        64,
                        2,
                        7,
                        3,
                        List.of(new LeasedKeys(new KeyRange(0, 9), 10, "5c0e")),
                        List.of(new LeasedKeys(new KeyRange(10, 19), 9, "")))),
                new PeerMessage.KeyRoutesUpdate("s", List.of(new KeyRoute(new KeyRange(0, 9), 10, "10.0.0.1:7000"))));
    }

    @Test
    public void messagesComeBackAsTheyWere() throws IOException {
        for (List<PeerMessage> some : List.of(messages(), messagesAboutKeys())) {
            for (PeerMessage message : some) {
                assertEquals(PeerMessageCodec.read(PeerMessageCodec.write(message)), message);
            }
        }
        PeerMessage.ForwardRequest p = (PeerMessage.ForwardRequest) PeerMessageCodec.read(PeerMessageCodec.write(
                new PeerMessage.ForwardRequest(1, "GET", "/a", List.of("A", "b"), new byte[] {9}, 100, "s", "i", 2)));
        assertEquals(p.headers(), List.of("A", "b"));
        assertTrue(Arrays.equals(p.body(), new byte[] {9}));
        assertEquals(p.sentAt(), PeerMessage.UNSTAMPED);
        PeerMessage.ForwardRequest stamped = (PeerMessage.ForwardRequest)
                PeerMessageCodec.read(PeerMessageCodec.write(new PeerMessage.ForwardRequest(
                        1, "GET", "/a", List.of(), new byte[0], 100, "s", "i", 2, Long.MAX_VALUE)));
        assertEquals(stamped.sentAt(), Long.MAX_VALUE);
        PeerMessage.ForwardRequestHead head = (PeerMessage.ForwardRequestHead) PeerMessageCodec.read(
                PeerMessageCodec.write(new PeerMessage.ForwardRequestHead(stamped, PeerMessage.UNKNOWN_LENGTH)));
        assertEquals(head.request().sentAt(), Long.MAX_VALUE);
        assertEquals(head.request().target(), "s");
        assertEquals(head.bodyBytes(), PeerMessage.UNKNOWN_LENGTH);
        PeerMessage.BodyPart part = (PeerMessage.BodyPart)
                PeerMessageCodec.read(PeerMessageCodec.write(new PeerMessage.BodyPart(3, new byte[] {7}, true)));
        assertEquals(part.stream(), 3);
        assertTrue(Arrays.equals(part.bytes(), new byte[] {7}));
        assertTrue(part.last());
        PeerMessage.ForwardResponse d = (PeerMessage.ForwardResponse) PeerMessageCodec.read(PeerMessageCodec.write(
                new PeerMessage.ForwardResponse(1, 200, List.of("A", "b"), new byte[] {9}, 0.5, 2)));
        assertEquals(d.status(), 200);
        Acceptor.State m = new Acceptor.State(DECISION, BALLOT, new Message.Vote(BALLOT, DECISION));
        assertEquals(AcceptorRecord.read(AcceptorRecord.write(m)), m);
        Acceptor.State none = new Acceptor.State(null, Ballot.NONE, null);
        assertEquals(AcceptorRecord.read(AcceptorRecord.write(none)), none);
    }

    @Test
    public void suspectsAndOpinionsFollowWhatAnOlderProgramReads() throws IOException {
        // A program from before them reads its own fields, passes over what follows, and sends none itself.
        startsAs(new Message.Query(5, 3, List.of("10.0.0.1#0")), new Message.Query(5, 3));
        startsAs(
                new Message.State(5, 3, true, List.of(new Message.Opinion("10.0.0.1#0", Message.Reachability.SILENT))),
                new Message.State(5, 3, true));
        // A word that only a newer program knows says nothing: the last byte is its number.
        byte[] newer = PeerMessageCodec.write(new PeerMessage.Consensus(new Message.State(
                5, 3, true, List.of(new Message.Opinion("10.0.0.1#0", Message.Reachability.SILENT)))));
        newer[newer.length - 1] = 100;
        assertEquals(
                PeerMessageCodec.read(newer),
                new PeerMessage.Consensus(new Message.State(
                        5, 3, true, List.of(new Message.Opinion("10.0.0.1#0", Message.Reachability.UNSURE)))));
    }

    private static void startsAs(Message longer, Message older) {
        byte[] known = PeerMessageCodec.write(new PeerMessage.Consensus(older));
        byte[] written = PeerMessageCodec.write(new PeerMessage.Consensus(longer));
        assertTrue(written.length > known.length);
        assertEquals(Arrays.copyOf(written, known.length), known);
    }

    @Test
    public void fieldsBehindATimeOfSendingArePassedOver() throws IOException {
        PeerMessage ping = new PeerMessage.Ping(4, 7);
        byte[] written = PeerMessageCodec.write(ping);
        byte[] later = Arrays.copyOf(written, written.length + 1);
        later[written.length] = 1;
        assertEquals(PeerMessageCodec.read(later), ping);
    }

    @Test
    public void bytesThatAreNoMessageAreOnlyThat() {
        Random random = new Random(11);
        List<PeerMessage> messages = messages();
        int read = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = PeerMessageCodec.write(messages.get(random.nextInt(messages.size())));
            for (int k = 0; k <= random.nextInt(3); k++) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length) + 1);
            try {
                PeerMessageCodec.read(bytes);
                read++;
            } catch (IOException e) {
                // The one error that a link knows what to do with.
                continue;
            }
        }
        assertTrue(read < 20_000);
    }

    @Test
    public void everyEventIsInTheCatalogue() throws IOException {
        String page = Files.readString(Path.of("docs/events.md"));
        for (Event e : Event.values()) {
            assertTrue(page.contains("| " + e.number() + " | " + e.text() + " |"), e.number() + " " + e.text());
        }
    }
}
