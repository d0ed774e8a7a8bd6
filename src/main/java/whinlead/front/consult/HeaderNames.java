package whinlead.front.consult;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import whinlead.front.consult.ConsultRequest.Field;

/** By which headers callers tell of their requests. Case does not matter. */
public final class HeaderNames {
    /** A name that ends so holds milliseconds, as Envoy's own do; others hold seconds. */
    private static final String MILLIS = "-ms";

    private final Map<Field, String> names = new EnumMap<>(Field.class);

    /** The consult API's own. */
    public HeaderNames() {
        for (Field field : Field.values()) {
            names.put(field, field.header());
        }
    }

    /** The same, but for these. */
    public HeaderNames with(Map<Field, String> others) {
        HeaderNames changed = new HeaderNames();
        changed.names.putAll(names);
        changed.names.putAll(others);
        return changed;
    }

    /** The header that holds this. */
    public String of(Field field) {
        return names.get(field);
    }

    /** Whether the timeout is told in milliseconds. */
    boolean timeoutInMillis() {
        return of(Field.TIMEOUT).toLowerCase(Locale.ROOT).endsWith(MILLIS);
    }
}
