package whinlead.benchlink;

import java.util.HashMap;
import java.util.Map;
import whinlead.Contract;
import whinlead.SettingsReader;

/** Splits the pairs of an instance's first message. */
final class BootInfo {
    private final Map<String, String> pairs = new HashMap<>();

    BootInfo(String text) {
        for (String pair : text.split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
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
