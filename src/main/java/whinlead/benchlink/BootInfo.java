package whinlead.benchlink;

import java.util.HashMap;
import java.util.Map;
import whinlead.Contract;
import whinlead.SettingsReader;

/** Parses the key-value pairs of an instance's first message. */
final class BootInfo {
    private final Map<String, String> pairs = new HashMap<>();

    BootInfo(String text) {
        for (String pair : text.split(" ")) {
            int separator = pair.indexOf('=');
            if (separator > 0) {
                pairs.put(pair.substring(0, separator), pair.substring(separator + 1));
            } else if (!pair.isEmpty()) {
                throw new WireException("field boot_info: '" + pair + "' is not path=value");
            }
        }
    }

    Contract.Settings settings() {
        try {
            return new SettingsReader(pairs).settings();
        } catch (IllegalArgumentException e) {
            throw new WireException("field boot_info: " + e.getMessage());
        }
    }
}
