package whinlead.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Consumer;
import whinlead.membership.Discovery;

/**
 * Handles SIGHUP: reads the configuration again and applies the address of discovery. All other settings stay as they
 * were at start. An invalid file changes nothing, so that a typing error does not stop a serving process.
 */
final class Reload implements Runnable {
    private final String path;
    private final ObjectMapper mapper;
    private final Discovery discovery;
    private final Consumer<String> log;

    Reload(String path, ObjectMapper mapper, Discovery discovery, Consumer<String> log) {
        this.path = path;
        this.mapper = mapper;
        this.discovery = discovery;
        this.log = log;
    }

    @Override
    public void run() {
        try {
            Config config = Config.read(path, mapper);
            discovery.changeAddress(config.discovery());
            log.accept("configuration reread: discovery address is " + config.discovery());
        } catch (IllegalArgumentException e) {
            log.accept("configuration not applied: " + e.getMessage());
        }
    }
}
