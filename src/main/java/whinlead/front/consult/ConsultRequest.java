package whinlead.front.consult;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import whinlead.Contract;
import whinlead.engine.Request;
import whinlead.http.Decimals;
import whinlead.http.LoadReport;

/**
 * What a caller of the consult API says, checked: of a request, and of an attempt at it. JSON and header form are the
 * same fields under other names ({@code docs/consult-api.md}).
 */
public final class ConsultRequest {
    /** What can be said, with its name in JSON and as a header. */
    public enum Field {
        ID("id", "Request-Id"),
        CLASS("class", "Request-Class"),
        TENANT("tenant", "Tenant"),
        /** Milliseconds in JSON, seconds as a header, as the platform has it. */
        TIMEOUT("timeout_ms", "Request-Timeout"),
        REPEAT("repeat", "Client-Retry"),
        ATTEMPT("attempt", "Consult-Attempt"),
        ENDPOINT("endpoint", "Consult-Endpoint"),
        OUTCOME("outcome", "Consult-Outcome"),
        STATUS("status", "Consult-Status"),
        NOT_STARTED("not_started", "Consult-Not-Started"),
        CONNECTED("connected", "Consult-Connect-Time"),
        ANSWERED("answered", "Consult-Header-Time"),
        LOAD("load", "Server-Load");

        private final String json;
        private final String header;

        Field(String json, String header) {
            this.json = json;
            this.header = header;
        }

        /** Its name in JSON. */
        public String json() {
            return json;
        }

        /** Its name as a header. */
        public String header() {
            return header;
        }
    }

    /** A caller's mistake, in one line for the caller. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1;

        /** Why. */
        public Bad(String why) {
            super(why, null, false, false);
        }
    }

    /**
     * How an attempt ended.
     *
     * @param endpoint where the caller says that it sent it, or null
     * @param report of the endpoint's load, or null
     */
    public record Ended(int attempt, String endpoint, Contract.Outcome outcome, Contract.Report report) {}

    /** Longer names than any caller has; they are kept. */
    private static final int MAX_NAME = 256;
    /** An hour, as on the platform's own front. */
    private static final double MAX_TIMEOUT_MS = 3_600_000;

    private static final double MILLIS = 1000;
    private static final int MAX_ATTEMPTS = 1000;
    private static final int MAX_STATUS = 999;
    private static final int SERVER_ERRORS = 500;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int UNAVAILABLE = 503;
    /** What proxies write for a time that never came; 0 is one that came at once. */
    private static final List<String> NEVER = List.of("", "false", "-", "-1");

    private static final List<String> YES = List.of("1", "true");

    private final Function<Field, String> said;
    private final HeaderNames headers;

    private ConsultRequest(Function<Field, String> said, HeaderNames headers) {
        this.said = said;
        this.headers = headers;
    }

    /** One call in JSON; {@code said} gives the text of a field, or null. */
    public static ConsultRequest json(Function<Field, String> said) {
        return new ConsultRequest(said, null);
    }

    /** One call in headers of these names; {@code said} gives the text of a field, or null. */
    public static ConsultRequest headers(Function<Field, String> said, HeaderNames names) {
        return new ConsultRequest(said, names);
    }

    private String text(Field field) {
        String text = said.apply(field);
        return text == null ? "" : text;
    }

    private String name(Field field) {
        return headers == null ? field.json() : headers.of(field);
    }

    /** The request's id. */
    public String id() throws Bad {
        String id = text(Field.ID);
        if (id.isEmpty() || id.length() > MAX_NAME || !id.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            throw new Bad(name(Field.ID) + " is missing or malformed");
        }
        return id;
    }

    /** What the engine needs to know of the request. */
    public Request ask(Names names) throws Bad {
        String type = text(Field.CLASS).isEmpty() ? names.usual : text(Field.CLASS);
        Integer k = names.classes.get(type);
        if (k == null) {
            throw new Bad(type.isEmpty() ? name(Field.CLASS) + " is missing" : "class '" + clip(type) + "' is unknown");
        }
        double wait = names.deadlines.get(k);
        String timeout = text(Field.TIMEOUT);
        if (!timeout.isEmpty()) {
            wait = Decimals.parse(timeout, MAX_TIMEOUT_MS)
                    * (headers == null || headers.timeoutInMillis() ? 1 : MILLIS);
            if (!(wait > 0 && wait <= MAX_TIMEOUT_MS)) {
                throw new Bad(name(Field.TIMEOUT) + " is malformed");
            }
        }
        return new Request(k, names.tenants.getOrDefault(text(Field.TENANT), -1), wait, yes(Field.REPEAT));
    }

    /** Whether it tells how an attempt ended. */
    public boolean tellsAnEnd() {
        return !text(Field.ATTEMPT).isEmpty()
                && !(text(Field.OUTCOME).isEmpty() && text(Field.STATUS).isEmpty());
    }

    /** The attempt that it is about. */
    public int attempt() throws Bad {
        return whole(Field.ATTEMPT, MAX_ATTEMPTS);
    }

    /** How that attempt ended. */
    public Ended ended() throws Bad {
        String endpoint = text(Field.ENDPOINT);
        String load = text(Field.LOAD);
        return new Ended(
                attempt(),
                endpoint.isEmpty() ? null : endpoint,
                outcome(),
                load.isEmpty() ? null : LoadReport.parse(load));
    }

    private Contract.Outcome outcome() throws Bad {
        String word = text(Field.OUTCOME);
        return switch (word) {
            case "" -> byStatus();
            case "served" -> Contract.Outcome.SERVED;
            case "error" -> Contract.Outcome.ERROR;
            case "full" -> Contract.Outcome.FULL;
            case "timed_out" -> Contract.Outcome.TIMED_OUT;
            case "connect_failed" -> Contract.Outcome.CONNECT_FAILED;
            case "reset" -> Contract.Outcome.RESET;
            case "cancelled" -> Contract.Outcome.CANCELLED;
            case "not_sent" -> Contract.Outcome.NEVER_SENT;
            default -> throw new Bad("outcome '" + clip(word) + "' is unknown");
        };
    }

    // By what a proxy knows: whether it got a connection, whether a head came back on it, and its status.
    // Without a word on the first two they are taken to be so, by which nothing is held to be proven.
    private Contract.Outcome byStatus() throws Bad {
        int status = whole(Field.STATUS, MAX_STATUS);
        if (never(Field.CONNECTED)) {
            return Contract.Outcome.CONNECT_FAILED;
        }
        if (never(Field.ANSWERED)) {
            return status == GATEWAY_TIMEOUT ? Contract.Outcome.TIMED_OUT : Contract.Outcome.RESET;
        }
        if ((status == UNAVAILABLE || status == GATEWAY_TIMEOUT) && yes(Field.NOT_STARTED)) {
            return Contract.Outcome.FULL;
        }
        return status < SERVER_ERRORS ? Contract.Outcome.SERVED : Contract.Outcome.ERROR;
    }

    private boolean never(Field field) {
        return said.apply(field) != null && NEVER.contains(text(field));
    }

    private boolean yes(Field field) {
        return YES.contains(text(field));
    }

    private int whole(Field field, int most) throws Bad {
        double value = Decimals.parse(text(field), most);
        if (Double.isNaN(value) || value != Math.rint(value)) {
            throw new Bad(name(field) + " is missing or malformed");
        }
        return (int) value;
    }

    private static String clip(String text) {
        return text.length() > MAX_NAME ? text.substring(0, MAX_NAME) : text;
    }

    /** The classes and tenants by name. */
    public static final class Names {
        private final Map<String, Integer> classes = new HashMap<>();
        private final Map<Integer, Double> deadlines = new HashMap<>();
        private final Map<String, Integer> tenants = new HashMap<>();
        private final String usual;

        /** Those of these settings; a request has to name its class. */
        public Names(Contract.Settings settings) {
            this(settings, "");
        }

        /**
         * Those of these settings.
         *
         * @param usual the class of a request that names none; empty if it has to name one
         * @throws IllegalArgumentException if there is no such class
         */
        public Names(Contract.Settings settings, String usual) {
            this.usual = usual;
            for (int i = 0; i < settings.classes().size(); i++) {
                classes.put(settings.classes().get(i).name(), i);
                deadlines.put(i, settings.classes().get(i).deadline());
            }
            for (int i = 0; i < settings.tenants().size(); i++) {
                tenants.put(settings.tenants().get(i).name(), i);
            }
            if (!usual.isEmpty() && !classes.containsKey(usual)) {
                throw new IllegalArgumentException("class '" + usual + "' is unknown");
            }
        }
    }
}
