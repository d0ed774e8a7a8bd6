package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Decision;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.Talk;

/**
 * One table of what an operator's order comes to, walked at every control node: at those that took the orders before,
 * after a restart of each, and without a quorum. The first column of statuses is what the users' pages allow while a
 * quorum is in contact, the second without one. All control nodes that are asked in one state have to give the same
 * status.
 */
public class OrderOutcomesTest {
    private static final int CONTROL_NODES = 3;
    private static final long CURRENT = Decision.MAX_APPLIED_VERSIONS + 20;
    private static final long OLDEST_REMEMBERED = CURRENT - Decision.MAX_APPLIED_VERSIONS + 1;
    private static final long FORGOTTEN = 10;
    private static final long REMEMBERED = CURRENT - 50;
    private static final int TOO_LARGE_BYTES = (8 << 20) + 1;
    private static final String REPLACE = "POST /whinlead/rpc?call=config.replace";
    private static final Set<Integer> TAKEN = Set.of(200);
    private static final Set<Integer> REFUSED = Set.of(400, 409, 412, 422);
    private static final Set<Integer> UNCLEAR = Set.of(503);
    private static final Set<Integer> TAKEN_OR_UNCLEAR = Set.of(200, 503);
    private static final Set<Integer> REFUSED_OR_UNCLEAR = Set.of(400, 409, 412, 422, 503);
    private static final Set<Integer> INVALID = Set.of(400, 422);
    private static final Set<Integer> TOO_LARGE = Set.of(413);
    private static final Set<Integer> NOT_FOUND = Set.of(404);

    /** An order, and what may be answered with a quorum and without. */
    private enum Row {
        REPEAT_OF_CURRENT(order(CURRENT, CURRENT - 1), TAKEN, TAKEN_OR_UNCLEAR),
        REPEAT_OF_REMEMBERED(order(REMEMBERED, REMEMBERED - 1), TAKEN, TAKEN_OR_UNCLEAR),
        REPEAT_OF_OLDEST_REMEMBERED(order(OLDEST_REMEMBERED, OLDEST_REMEMBERED - 1), TAKEN, TAKEN_OR_UNCLEAR),
        REPEAT_OF_FORGOTTEN(order(FORGOTTEN, FORGOTTEN - 1), TAKEN_OR_UNCLEAR, TAKEN_OR_UNCLEAR),
        CURRENT_CONTENT_ON_CURRENT(order(CURRENT, CURRENT), TAKEN, TAKEN_OR_UNCLEAR),
        OTHER_CONTENT_UNDER_CURRENT(other(CURRENT, CURRENT - 1), REFUSED, REFUSED_OR_UNCLEAR),
        OTHER_CONTENT_UNDER_CURRENT_ON_CURRENT(other(CURRENT, CURRENT), REFUSED, REFUSED_OR_UNCLEAR),
        OTHER_CONTENT_UNDER_REMEMBERED(other(REMEMBERED, REMEMBERED - 1), REFUSED, REFUSED_OR_UNCLEAR),
        OTHER_CONTENT_UNDER_OLDEST(other(OLDEST_REMEMBERED, OLDEST_REMEMBERED - 1), REFUSED, REFUSED_OR_UNCLEAR),
        /** It can't be told from a repeat: 4xx would be right, and so is no clear answer. */
        OTHER_CONTENT_UNDER_FORGOTTEN(other(FORGOTTEN, FORGOTTEN - 1), REFUSED_OR_UNCLEAR, REFUSED_OR_UNCLEAR),
        OLD_VERSION_ON_CURRENT(other(REMEMBERED, CURRENT), REFUSED, REFUSED_OR_UNCLEAR),
        FORGOTTEN_VERSION_ON_CURRENT(other(FORGOTTEN, CURRENT), REFUSED, REFUSED_OR_UNCLEAR),
        FORGOTTEN_VERSION_ON_ITSELF(other(FORGOTTEN, FORGOTTEN), REFUSED, REFUSED_OR_UNCLEAR),
        NEW_VERSION_ON_OLD(other(CURRENT + 1, CURRENT - 1), REFUSED, REFUSED_OR_UNCLEAR),
        NEW_VERSION_ON_FORGOTTEN(other(CURRENT + 1, FORGOTTEN), REFUSED, REFUSED_OR_UNCLEAR),
        NEW_VERSION_ON_NONE(other(CURRENT + 1, 0), REFUSED, REFUSED_OR_UNCLEAR),
        NEW_VERSION_ON_UNKNOWN(other(CURRENT + 9, CURRENT + 1), REFUSED, REFUSED_OR_UNCLEAR),
        INVALID_ON_CURRENT(invalid(CURRENT + 1, CURRENT), INVALID, INVALID),
        INVALID_AND_MISMATCH(invalid(CURRENT + 1, REMEMBERED), REFUSED, REFUSED),
        INVALID_UNDER_REMEMBERED(invalid(REMEMBERED, REMEMBERED - 1), REFUSED, REFUSED),
        INVALID_AND_FORGOTTEN(invalid(FORGOTTEN, FORGOTTEN - 1), REFUSED, REFUSED),
        UNREADABLE_BODY(
                new Call(REPLACE, hex(CURRENT), "{\"Epoch\":".getBytes(StandardCharsets.UTF_8)), INVALID, INVALID),
        EMPTY_BODY(new Call(REPLACE, hex(CURRENT), new byte[0]), INVALID, INVALID),
        UNREADABLE_IF_MATCH(new Call(REPLACE, "newest", body(CURRENT + 1, 2)), INVALID, INVALID),
        EMPTY_IF_MATCH(new Call(REPLACE, "", body(CURRENT + 1, 2)), INVALID, INVALID),
        TOO_LARGE_BODY(new Call(REPLACE, hex(CURRENT), new byte[TOO_LARGE_BYTES]), TOO_LARGE, TOO_LARGE),
        UNKNOWN_CALL(
                new Call("POST /whinlead/rpc?call=config.drop", hex(CURRENT), body(CURRENT + 1, 2)),
                NOT_FOUND,
                NOT_FOUND),
        ENDPOINTS_CALL(
                new Call("POST /whinlead/rpc?call=members.depart&of=i-1", "0", new byte[0]), NOT_FOUND, NOT_FOUND),
        OTHER_METHOD(new Call("GET /whinlead/rpc?call=config.read", "0", new byte[0]), NOT_FOUND, NOT_FOUND),
        READ(new Call("POST /whinlead/rpc?call=config.read", "0", new byte[0]), TAKEN, UNCLEAR);

        private final Call call;
        private final Set<Integer> withQuorum;
        private final Set<Integer> withoutQuorum;

        Row(Call call, Set<Integer> withQuorum, Set<Integer> withoutQuorum) {
            this.call = call;
            this.withQuorum = withQuorum;
            this.withoutQuorum = withoutQuorum;
        }
    }

    private record Call(String line, String ifMatch, byte[] body) {}

    private MeshRig mesh;

    private static String hex(long version) {
        return String.format("%08x", version);
    }

    private static byte[] body(long version, int rank) {
        return LocalMeshRun.config(hex(version), "svc")
                .replace("\"Rank\":1", "\"Rank\":" + rank)
                .getBytes(StandardCharsets.UTF_8);
    }

    private static Call order(long version, long builtOn) {
        return new Call(REPLACE, hex(builtOn), body(version, 1));
    }

    private static Call other(long version, long builtOn) {
        return new Call(REPLACE, hex(builtOn), body(version, 2));
    }

    private static Call invalid(long version, long builtOn) {
        String odd = new String(body(version, 1), StandardCharsets.UTF_8).replace("mutating", "odd");
        return new Call(REPLACE, hex(builtOn), odd.getBytes(StandardCharsets.UTF_8));
    }

    private int ask(int controlNode, Call call) throws IOException {
        return Talk.ask(
                        mesh.settings.control(controlNode),
                        call.line(),
                        Map.of("If-Match", call.ifMatch(), "Content-Type", "application/json"),
                        call.body())
                .status();
    }

    @BeforeClass
    public void start() throws Exception {
        mesh = new MeshRig(0);
        for (long version = 1; version <= CURRENT; version++) {
            Call call = order(version, version - 1);
            int controlNode = (int) (version % CONTROL_NODES);
            MeshRig.await("version " + version + " is taken", () -> ask(controlNode, call) == 200);
        }
        awaitNewest();
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mesh.close();
    }

    private void awaitNewest() throws Exception {
        for (int i = 0; i < CONTROL_NODES; i++) {
            int controlNode = i;
            MeshRig.await("control node " + controlNode + " reads", () -> ask(controlNode, Row.READ.call) == 200);
        }
    }

    private void walk(String state) throws IOException {
        for (Row row : Row.values()) {
            Set<Integer> statuses = new TreeSet<>();
            for (int controlNode = 0; controlNode < CONTROL_NODES; controlNode++) {
                int status = ask(controlNode, row.call);
                statuses.add(status);
                assertTrue(row.withQuorum.contains(status), state + ", " + row + " at " + controlNode + ": " + status);
            }
            assertEquals(statuses.size(), 1, state + ", " + row + ": " + statuses);
        }
    }

    @Test
    public void theTableHoldsAtEveryControlNodeAndAfterItsRestart() throws Exception {
        walk("before");
        for (int controlNode = 0; controlNode < CONTROL_NODES; controlNode++) {
            mesh.controlNodes.get(controlNode).destroyForcibly().waitFor();
            mesh.controlNodes.set(controlNode, mesh.controlNode(controlNode, false));
            awaitNewest();
        }
        walk("after a restart of each");
        Call next = other(CURRENT + 1, CURRENT);
        for (int controlNode = 0; controlNode < CONTROL_NODES; controlNode++) {
            assertEquals(ask(controlNode, next), 200, "a valid order, then its repeats, at " + controlNode);
        }
        Call late = order(CURRENT + 1, CURRENT);
        for (int controlNode = 0; controlNode < CONTROL_NODES; controlNode++) {
            assertTrue(REFUSED.contains(ask(controlNode, late)), "the order that lost the race, at " + controlNode);
        }
    }

    @Test(dependsOnMethods = "theTableHoldsAtEveryControlNodeAndAfterItsRestart")
    public void theTableHoldsWithoutAQuorum() throws Exception {
        for (int controlNode = 1; controlNode < CONTROL_NODES; controlNode++) {
            mesh.controlNodes.get(controlNode).destroyForcibly().waitFor();
        }
        MeshRig.await("the control node that is left has noticed", () -> ask(0, Row.READ.call) == 503);
        for (Row row : Row.values()) {
            int status = ask(0, row.call);
            assertTrue(row.withoutQuorum.contains(status), row + ": " + status);
        }
        Call valid = other(CURRENT + 2, CURRENT + 1);
        assertEquals(ask(0, valid), 503, "a valid order that can't be decided");
    }
}
