package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.departure.DepartureLog;
import whinlead.mesh.storage.DepartureStore;
import whinlead.mesh.storage.Syncer;
import whinlead.mesh.wire.MessageSender;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;

/** A control node tells a sidecar only of departures that are on its disk. */
public class DepartureRecorderTest {
    /** A sidecar that records the answers. */
    private record RecordingSidecar(String peer, List<List<String>> answers) implements MessageSender {
        @Override
        public int version() {
            return ProtocolVersion.SUPPORTED.newest();
        }

        @Override
        public void send(PeerMessage message) {
            answers.add(((PeerMessage.DeparturesStored) message).endpoints());
        }

        @Override
        public void send(byte[] encoded) {}
    }

    private final Queue<Runnable> diskTasks = new ArrayDeque<>();
    private RecordingSidecar sidecar;
    private Path folder;
    private boolean diskFails;
    private double nowMs;

    @BeforeMethod
    public void start() throws Exception {
        folder = Files.createTempDirectory("departures");
        sidecar = new RecordingSidecar("10.0.1.1:1", new ArrayList<>());
        diskTasks.clear();
        diskFails = false;
        nowMs = 0;
    }

    private DepartureRecorder recorder() {
        Syncer syncer = new Syncer() {
            @Override
            public void syncFile(Path file) throws IOException {
                if (diskFails) {
                    throw new IOException("planted");
                }
            }

            @Override
            public void syncFolder(Path which) {}
        };
        DepartureStore store = new DepartureStore(folder, syncer);
        return new DepartureRecorder(() -> nowMs, "10.0.0.1#0", store, diskTasks::add, Runnable::run, message -> {});
    }

    private static PeerMessage.DepartureReport report(String endpoint) {
        return new PeerMessage.DepartureReport(List.of(endpoint));
    }

    @Test
    public void answerNamesOnlyWhatIsOnDisk() {
        DepartureRecorder recorder = recorder();
        recorder.report(sidecar, report("i-1"));
        RecordingSidecar other = new RecordingSidecar("10.0.1.2:1", new ArrayList<>());
        recorder.report(other, report("i-2"));
        assertEquals(sidecar.answers(), List.of(), "before the write");
        diskTasks.remove().run();
        assertEquals(sidecar.answers(), List.of(List.of("i-1")));
        assertEquals(other.answers(), List.of(), "the second write is not done");
        diskTasks.remove().run();
        assertEquals(other.answers(), List.of(List.of("i-2")));
    }

    @Test
    public void refusedWriteIsNotAnsweredAndTheNextReportIsWritten() {
        DepartureRecorder recorder = recorder();
        diskFails = true;
        recorder.report(sidecar, report("i-1"));
        diskTasks.remove().run();
        assertEquals(sidecar.answers(), List.of());
        diskFails = false;
        recorder.report(sidecar, report("i-1"));
        diskTasks.remove().run();
        assertEquals(sidecar.answers(), List.of(List.of("i-1")));
    }

    @Test
    public void processThatStartsTellsWhatAnEarlierOneStored() {
        recorder().report(sidecar, report("i-1"));
        diskTasks.remove().run();
        sidecar.answers().clear();
        recorder().sidecarConnected(sidecar);
        assertEquals(sidecar.answers(), List.of(List.of("i-1")));
    }

    // An answer would count towards the majority that knows all departures.
    @Test
    public void processWhoseFileIsDamagedDoesNotAnswerWhileItMayMissOne() throws Exception {
        Files.writeString(folder.resolve("departures"), "damaged\n");
        DepartureRecorder recorder = recorder();
        recorder.sidecarConnected(sidecar);
        assertEquals(sidecar.answers(), List.of());
        nowMs = DepartureLog.RETENTION_MS;
        recorder.sidecarConnected(sidecar);
        assertEquals(sidecar.answers(), List.of(List.of()));
    }
}
