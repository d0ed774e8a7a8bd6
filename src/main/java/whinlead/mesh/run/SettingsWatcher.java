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
 * The settings file while a process runs: read again on SIGHUP and now and then, for it may change without one. Only
 * the seeds are taken over; addresses and figures of a running process stay. On the loop's thread.
 */
final class SettingsWatcher {
    private static final long EVERY_MS = 2000;

    private final Path path;
    private final NodeSettingsReader reader;
    private List<String> seeds;
    private String wrong = "";

    SettingsWatcher(Path path, NodeSettings nodeSettings, NodeSettingsReader reader) {
        this.path = path;
        this.reader = reader;
        this.seeds = nodeSettings.network().seeds();
    }

    /** Has this told of other seeds. */
    void watch(Hangup hangup, EventLoop loop, Consumer<List<String>> changed) {
        hangup.on(() -> loop.execute(() -> read(changed)));
        loop.scheduleAtFixedRate(() -> read(changed), EVERY_MS, EVERY_MS, TimeUnit.MILLISECONDS);
    }

    private void read(Consumer<List<String>> changed) {
        try {
            List<String> now = reader.read(path).network().seeds();
            if (!now.equals(seeds)) {
                seeds = now;
                Event.SETTINGS_REREAD.log("seeds " + now);
                changed.accept(now);
            }
            wrong = "";
        } catch (NodeSettingsException e) {
            // What was read last stands; the same fault is told once.
            if (!e.getMessage().equals(wrong)) {
                wrong = e.getMessage();
                Event.SETTINGS_BAD.log(wrong);
            }
        }
    }
}
