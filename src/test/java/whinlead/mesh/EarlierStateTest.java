package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.control.ConfigCodec;
import whinlead.mesh.storage.StateStore;
import whinlead.mesh.wire.AcceptorRecord;

/**
 * A state store as the program at commit ce55648 left it, before names changed: it founded the mesh alone, took two
 * configurations and was killed, so that the newest state is in the log beside the file.
 */
public class EarlierStateTest {
    private static final String RESOURCES = "/whinlead/state-of-ce55648/";
    private static final String ID = "127.0.0.1#0";

    private Path folder;

    @BeforeMethod
    public void copyState() throws IOException {
        folder = Files.createTempDirectory("earlier-state");
        for (String file : List.of("office.db", "office.db-wal")) {
            try (InputStream in = EarlierStateTest.class.getResourceAsStream(RESOURCES + file)) {
                Files.copy(in, folder.resolve(file));
            }
        }
    }

    @AfterMethod(alwaysRun = true)
    public void remove() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }

    @Test
    public void whatAnEarlierProgramHasStoredIsReadAndWrittenOn() throws Exception {
        Acceptor.State state;
        try (StateStore store = StateStore.open(folder)) {
            StateStore.Entry entry = store.read();
            assertEquals(entry.id(), ID);
            state = AcceptorRecord.read(entry.state());
            checkTheNewestDecision(state.decided());
            assertNull(state.vote());
            store.write(ID, AcceptorRecord.write(state));
        }
        try (StateStore store = StateStore.open(folder)) {
            assertEquals(store.read().state(), AcceptorRecord.write(state), "the same bytes");
        }
    }

    private static void checkTheNewestDecision(Decision decided) throws IOException {
        assertEquals(decided.slot(), 2);
        assertEquals(decided.version(), 2);
        assertEquals(decided.voters(), List.of(ID));
        byte[] body = ConfigCodec.inflate(decided.body());
        assertTrue(new String(body, StandardCharsets.UTF_8).startsWith("{\"Epoch\":\"00000002\""));
        assertTrue(decided.isApplied(2, ConfigCodec.digest(body)), "a repeat of it is known again");
        assertEquals(decided.appliedVersions().size(), 2, "and of the one before it there is a digest");
    }
}
