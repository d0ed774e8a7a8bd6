package whinlead.mesh.storage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Syncs nothing and records what was asked for, in order: names of files, and {@code folder}. */
final class RecordingSyncer implements Syncer {
    private final List<String> synced = new ArrayList<>();

    @Override
    public void syncFile(Path file) {
        synced.add(file.getFileName().toString());
    }

    @Override
    public void syncFolder(Path folder) {
        synced.add("folder");
    }

    List<String> synced() {
        return List.copyOf(synced);
    }
}
