package whinlead.mesh.storage;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Persistence of the sidecars that may hold leases. */
public class LesseeStoreTest {
    private Path folder;
    private RecordingSyncer syncer;

    @BeforeMethod
    public void createFolder() throws Exception {
        folder = Files.createTempDirectory("lessees");
        syncer = new RecordingSyncer();
    }

    private LesseeStore store() {
        return new LesseeStore(folder, syncer);
    }

    @Test
    public void newStoreReadsWhatWasWritten() throws Exception {
        assertEquals(store().read(), new LesseeStore.Entry(Set.of(), false));
        LesseeStore.Entry entry = new LesseeStore.Entry(Set.of("10.0.0.1:7000", "10.0.0.2:7000"), true);
        store().write(entry);
        assertEquals(store().read(), entry);
        store().write(new LesseeStore.Entry(Set.of(), false));
        assertEquals(store().read(), new LesseeStore.Entry(Set.of(), false));
    }

    @Test
    public void newFileIsSyncedBeforeRenameAndFolderAfterwards() throws Exception {
        store().write(new LesseeStore.Entry(Set.of("a"), false));
        assertEquals(syncer.synced(), List.of("lessees.new", "folder"));
    }

    @Test
    public void unfinishedNewFileIsIgnored() throws Exception {
        LesseeStore.Entry entry = new LesseeStore.Entry(Set.of("a"), false);
        store().write(entry);
        Files.writeString(folder.resolve("lessees.new"), "b");
        assertEquals(store().read(), entry);
    }
}
