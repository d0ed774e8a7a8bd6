package whinlead.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the adapter: valid batches are answered, and faults in invalid ones are reported with line and field. */
class LinkTest {
    private static final String BOOT = "classes.count=1 classes.0.name=get classes.0.effect=idempotent "
            + "classes.0.slo=500.0 classes.0.deadline=2000.0 classes.0.value=1.0 classes.0.late_worth=0.0 "
            + "discovery=push peers_total=3 ordinal=0 reporting.how=off unknown.key=1 "
            + "limits.attempts_cap=3 limits.may_duplicate=false limits.cancel=true limits.probes=false "
            + "limits.peers=false limits.retry_after=true limits.max_retry_after=1000.0 "
            + "obligations.drain_grace=1000.0 obligations.fall_multiple=3.0 obligations.overload_for=1000.0 "
            + "obligations.cold_share=0.2 obligations.cold=9000.0";
    private static final String UP = "tick 10.0 1\nup 0 77 " + BOOT + "\ncatalog 0 1\n"
            + "entry 1 U kind hall 0 box -\nmembership 0 1 C 0\neob\n";

    private static String play(String text) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Link(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void requestIsForwardedAndEndedByItsAnswer() throws IOException {
        String reply = play(UP + "tick 20.0 2\norder 0 5 get - - 900.0 - 0 0\neob\n"
                + "tick 40.0 3\nanswer 0 5 0 box done 20.0 1 -\ncancelled_by_client 0 5\neob\n");
        assertTrue(reply.contains("forward 0 5 box "), reply);
        assertTrue(reply.endsWith("next 3\n"), reply);
    }

    @Test
    void requestIsDeniedWhenNoServerIsUpAndLateAnswerIsIgnored() throws IOException {
        String reply = play(UP.replace("entry 1 U", "entry 1 D")
                + "tick 20.0 2\norder 0 5 get - - 900.0 - 0 0\nanswer 0 9 0 box done 1.0 1 -\neob\n");
        assertTrue(reply.contains("deny 0 5 "), reply);
    }

    @Test
    void restartForgetsRequestsAndReusedListNumberTakesLatestContents() throws IOException {
        String reply = play(UP + "tick 20.0 2\ncrash_now 0\nup 0 78 " + BOOT
                + "\ncatalog 0 1\nentry 1 U kind hall 0 fresh -\nmembership 0 2 C 0\n"
                + "catalog 0 0\norder 0 6 get - - 900.0 - 0 0\nanswer 0 5 0 box done 1.0 1 -\neob\n");
        assertTrue(reply.contains("forward 0 6 fresh "), reply);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "tick 20.0 2~bogus 0~eob~ | message",
                "tick 20.0 2~order 0 x get - - 900.0 - 0 0~eob~ | msg_id",
                "tick 20.0 2~order 0 5 nope - - 900.0 - 0 0~eob~ | grade",
                "tick 20.0 2~order 0 5 get - - soon - 0 0~eob~ | time_left",
                "tick 20.0 2~order 0 5 get~eob~ | object",
                "tick 20.0 2~order 4 5 get - - 900.0 - 0 0~eob~ | sidecar",
                "tick 20.0 2~answer 0 5 0 box happy 1.0 1 -~eob~ | disposition",
                "tick 20.0 2~answer 0 5 0 box done 1.0 1 util~eob~ | telemetry",
                "tick 20.0 2~memo 0 1 ###~eob~ | raw",
                "tick 20.0 2~membership 0 1 F 9~eob~ | buffer",
                "tick 20.0 2~catalog 1 2~entry 1 U k z 0 a -~eob~ | message",
                "tick 9.0 2~eob~ | clock",
                "tick 20.0 2~order 0 5 get - - 900.0 - 0 0~ | message",
                "tick 20.0 2~eo | line"
            })
    void malformedInputIsReportedWithLineAndField(String text, String field) {
        WireException e =
                assertThrows(WireException.class, () -> play(UP + text.strip().replace('~', '\n')));
        assertTrue(e.getMessage().startsWith("line "), e.getMessage());
        assertTrue(e.getMessage().contains("field " + field + ":"), e.getMessage());
        assertFalse(e.getMessage().contains("\n"));
    }

    @ParameterizedTest
    @CsvSource({
        "classes.0.slo=500.0,classes.0.slo=2500.0,classes.0.slo",
        "discovery=push,discovery=pull,discovery",
        "peers_total=3,peers_total=0,peers_total",
        "ordinal=0,ordinal=3,ordinal",
        "limits.cancel=true,limits.other=true,limits.cancel",
        "obligations.cold=9000.0,obligations.cold=x,obligations.cold",
        "classes.count=1,classes.count=2,classes.1.effect"
    })
    void invalidSettingIsReportedWithItsKey(String good, String bad, String key) {
        WireException e = assertThrows(WireException.class, () -> play(UP.replace(good, bad)));
        assertTrue(e.getMessage().contains(key), e.getMessage());
    }

    @Test
    void everyRequestOfLargeBatchIsAnswered() throws IOException {
        StringBuilder batch = new StringBuilder(UP + "tick 20.0 2\n");
        for (int i = 0; i < 20000; i++) {
            batch.append("order 0 ").append(i).append(" get - - 900.0 - 0 0\n");
        }
        String reply = play(batch + "eob\n");
        long answers = reply.lines()
                .filter(l -> l.startsWith("forward") || l.startsWith("deny"))
                .count();
        assertEquals(20000, answers);
    }

    @Test
    void tableRetainsEntriesThatWereNotRemoved() {
        LongTable<String> table = new LongTable<>();
        for (long i = 0; i < 5000; i++) {
            table.put(i * 1024, "v" + i);
        }
        for (long i = 0; i < 5000; i += 2) {
            table.remove(i * 1024);
        }
        assertEquals(2500, table.size());
        for (long i = 0; i < 5000; i++) {
            assertEquals(i % 2 == 0 ? null : "v" + i, table.get(i * 1024));
        }
    }
}
