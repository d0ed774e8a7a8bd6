package whinlead.mesh.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.duty.DutyPromise;

/** Persistence of a voter's last vote. */
public class DutyStoreTest {
    private Path folder;
    private RecordingSyncer syncer;

    @BeforeMethod
    public void createFolder() throws Exception {
        folder = Files.createTempDirectory("duty");
        syncer = new RecordingSyncer();
    }

    private DutyStore store() {
        return new DutyStore(folder, syncer);
    }

    @Test
    public void newStoreReadsWhatWasWritten() throws Exception {
        assertEquals(store().read(), DutyPromise.NONE);
        store().write(new DutyPromise(64, "10.0.0.1#0"));
        assertEquals(store().read(), new DutyPromise(64, "10.0.0.1#0"));
    }

    @Test
    public void newFileIsSyncedBeforeRenameAndFolderAfterwards() throws Exception {
        store().write(new DutyPromise(1, "a"));
        assertEquals(syncer.synced(), List.of("duty.new", "folder"));
    }

    @Test
    public void damagedFileIsReported() throws Exception {
        Files.writeString(folder.resolve("duty"), "sixty\na\n");
        assertThrows(IOException.class, () -> store().read());
    }
}
