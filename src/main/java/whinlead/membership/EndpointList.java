package whinlead.membership;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/** A list from discovery: all endpoints if {@code whole}, else the changed ones, as of version {@code seq}. */
public record EndpointList(long seq, boolean whole, List<Entry> entries) {

    /** An endpoint as the module sees it, and its address; the address is null for one that is gone. */
    public record Entry(Contract.Server server, SocketAddress address) {
        /** The address as ADDRESS:PORT; null if there is none. */
        public String dialAddress() {
            return address instanceof InetSocketAddress inet ? NetUtil.toSocketAddressString(inet) : null;
        }
    }

    private static final int MAX_PORT = 65535;

    /**
     * Parses the JSON of discovery. One malformed entry makes the whole list invalid: a partial list could silently
     * lose a drain.
     *
     * @throws IllegalArgumentException naming the malformed field
     */
    public static EndpointList parse(JsonNode json) {
        JsonNode hosts = json.path("hosts");
        if (!json.path("seq").canConvertToLong() || !json.path("whole").isBoolean() || !hosts.isArray()) {
            throw new IllegalArgumentException("seq, whole or hosts is missing or malformed");
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonNode host : hosts) {
            entries.add(entry(host));
        }
        return new EndpointList(json.get("seq").asLong(), json.get("whole").asBoolean(), List.copyOf(entries));
    }

    /** All entries as the module sees them. */
    public List<Contract.Server> servers() {
        return entries.stream().map(Entry::server).toList();
    }

    private static Entry entry(JsonNode host) {
        String id = host.path("host").asText();
        if (!host.path("host").isTextual() || id.isEmpty()) {
            throw new IllegalArgumentException("host is missing or malformed");
        }
        Contract.ServerState standing =
                switch (host.path("health").asText()) {
                    case "ready" -> Contract.ServerState.UP;
                    case "draining" -> Contract.ServerState.DRAINING;
                    case "gone" -> Contract.ServerState.GONE;
                    default -> throw new IllegalArgumentException("health of " + id + " is unknown");
                };
        double bornMs = number(host, "born_ms", 0);
        double share = number(host, "share", 1);
        Contract.Server server = new Contract.Server(
                id,
                standing,
                share,
                host.path("site").asText(),
                host.path("block").asInt(-1),
                bornMs);
        // A removed endpoint gets no requests and needs no address; a list must not be rejected for the lack of one.
        boolean gone = standing == Contract.ServerState.GONE;
        return new Entry(server, gone ? null : address(host.path("dial").asText()));
    }

    private static double number(JsonNode host, String field, double defaultValue) {
        JsonNode value = host.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < 0) {
            throw new IllegalArgumentException(field + " is malformed");
        }
        return value.asDouble();
    }

    /** An address and port such as {@code 127.0.0.1:9000}; names are not resolved, since there is no DNS. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("'" + text + "' is not ADDRESS:PORT");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw new IllegalArgumentException("'" + text + "' has no such port");
            }
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("'" + text + "' is not ADDRESS:PORT", e);
        }
    }
}
