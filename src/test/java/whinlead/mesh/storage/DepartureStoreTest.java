package whinlead.mesh.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.departure.Departure;

/** Persistence of departures of endpoints. */
public class DepartureStoreTest {
    private Path folder;

    @BeforeMethod
    public void createFolder() throws Exception {
        folder = Files.createTempDirectory("departures");
    }

    @Test
    public void newStoreReadsWhatWasWrittenWhateverTheIdsContain() throws Exception {
        assertEquals(new DepartureStore(folder).read(), List.of());
        List<Departure> departures =
                List.of(new Departure("10.0.0.1:8366", "i-1"), new Departure("10.0.0.2:8366", "two words\nø%20"));
        new DepartureStore(folder).write(departures);
        assertEquals(new DepartureStore(folder).read(), departures);
    }

    @Test
    public void newFileIsSyncedBeforeRenameAndFolderAfterwards() throws Exception {
        RecordingSyncer syncer = new RecordingSyncer();
        new DepartureStore(folder, syncer).write(List.of());
        assertEquals(syncer.synced(), List.of("departures.new", "folder"));
    }

    @Test
    public void damagedFileIsReported() throws Exception {
        Files.writeString(folder.resolve("departures"), "10.0.0.1:8366\n");
        assertThrows(IOException.class, () -> new DepartureStore(folder).read());
    }
}
