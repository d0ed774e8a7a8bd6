package whinlead.mesh.run;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import whinlead.mesh.log.Event;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.settings.NodeSettingsException;
import whinlead.mesh.settings.NodeSettingsReader;
import whinlead.signals.Hangup;

/**
 * Watches the settings file of a running process: reads it again on SIGHUP and periodically, because it may change
 * without a signal. Only the seeds are applied; addresses and bounds of a running process stay. On the loop's thread.
 */
final class SettingsWatcher {
    private static final long INTERVAL_MS = 2000;

    private final Path path;
    private final NodeSettingsReader reader;
    private List<String> seeds;
    private String lastError = "";

    SettingsWatcher(Path path, NodeSettings settings, NodeSettingsReader reader) {
        this.path = path;
        this.reader = reader;
        this.seeds = settings.network().seeds();
    }

    /** Starts watching; the callback receives the new seeds when they have changed. */
    void watch(Hangup hangup, EventLoop loop, Consumer<List<String>> seedsChanged) {
        hangup.onHangup(() -> loop.execute(() -> read(seedsChanged)));
        loop.scheduleAtFixedRate(() -> read(seedsChanged), INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void read(Consumer<List<String>> seedsChanged) {
        try {
            List<String> newSeeds = reader.read(path).network().seeds();
            if (!newSeeds.equals(seeds)) {
                seeds = newSeeds;
                Event.SETTINGS_REREAD.log("seeds " + newSeeds);
                seedsChanged.accept(newSeeds);
            }
            lastError = "";
        } catch (NodeSettingsException e) {
            // The last settings that were read stay in force; the same error is logged once.
            if (!e.getMessage().equals(lastError)) {
                lastError = e.getMessage();
                Event.INVALID_SETTINGS.log(lastError);
            }
        }
    }
}
