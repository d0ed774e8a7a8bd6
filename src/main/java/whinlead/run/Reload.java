package whinlead.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Consumer;
import whinlead.membership.Discovery;

/**
 * What SIGHUP asks for: the configuration is read again and discovery's address taken from it. The rest is what the
 * process was started with. A file that is bad changes nothing: a typing error must not end what serves.
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
            discovery.move(config.discovery());
            log.accept("configuration reread: discovery is at " + config.discovery());
        } catch (IllegalArgumentException e) {
            log.accept("configuration not taken over: " + e.getMessage());
        }
    }
}
