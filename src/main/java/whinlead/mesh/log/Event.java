package whinlead.mesh.log;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;

/** The events that the mesh's processes log. Each event keeps its number; {@code docs/events.md} is the catalogue. */
public enum Event {
    /** 1xx: process. */
    STARTED(101, Level.INFO, "started"),
    READY(102, Level.INFO, "ready"),
    LEAVING(103, Level.INFO, "leaving"),
    ENDED(104, Level.INFO, "ended"),
    SETTINGS_REREAD(105, Level.INFO, "settings read again"),
    INVALID_SETTINGS(106, Level.WARNING, "settings can't be used"),
    INTERNAL_ERROR(107, Level.WARNING, "a fault of the program"),
    /** 2xx: consensus of the control nodes. */
    DECIDED(201, Level.INFO, "decided"),
    CALL_REJECTED(202, Level.INFO, "operator's call refused"),
    DISK_FAILED(203, Level.WARNING, "disk failed, not voting"),
    VOTER_STATUS(204, Level.INFO, "vote"),
    DISK_RECOVERED(205, Level.INFO, "disk writes again"),
    /** 3xx: connections and endpoint records. */
    CONTROL_NODE_UP(301, Level.INFO, "control node in reach"),
    CONTROL_NODE_DOWN(302, Level.INFO, "control node out of reach"),
    PEER_DOWN(303, Level.INFO, "sidecar out of reach"),
    ENDPOINT(304, Level.INFO, "endpoint"),
    UNKNOWN_INPUT_IGNORED(305, Level.INFO, "passed over, of a later version"),
    PEER_REJECTED(306, Level.WARNING, "peer refused"),
    MESSAGE_TOO_LONG(307, Level.WARNING, "message too long, not sent"),
    DEPARTURE_NOT_STORED(308, Level.WARNING, "departure of an endpoint not acknowledged"),
    DEPARTURES_UNKNOWN(309, Level.INFO, "departures acknowledged by earlier processes not known"),
    DEPARTURES_NOT_RECORDED(310, Level.WARNING, "disk failed, no departures of endpoints stored"),
    /** 4xx: configuration at sidecars. */
    CONFIG_IN_FORCE(401, Level.INFO, "configuration in force"),
    CONFIG_UNREADABLE(402, Level.WARNING, "configuration can't be read"),
    /** 5xx: the decision module. */
    DECISION_MODULE(501, Level.INFO, "decisions"),
    /** 6xx: tenants' limits. */
    TENANT_LIMITED(601, Level.INFO, "tenant limited"),
    LEASES_RECOVERED(602, Level.INFO, "leases of an earlier process known"),
    LESSEES_NOT_RECORDED(603, Level.WARNING, "disk failed, no leases to further sidecars"),
    /** 7xx: keys of divided services. */
    KEY_GRANTING_STARTED(701, Level.INFO, "started granting keys"),
    KEY_GRANTING_STOPPED(702, Level.INFO, "stopped granting keys"),
    VOTE_NOT_RECORDED(703, Level.WARNING, "disk failed, no vote for who grants keys"),
    KEY_HOLDING_CHANGED(704, Level.INFO, "keys held"),
    GRANT_REJECTED(705, Level.WARNING, "endpoint refused a grant");

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final int number;
    private final Level level;
    private final String text;

    Event(int number, Level level, String text) {
        this.number = number;
        this.level = level;
        this.text = text;
    }

    /** The event's number. */
    public int number() {
        return number;
    }

    /** The text logged after the number. */
    public String text() {
        return text;
    }

    /** Logs the event with this detail. */
    public void log(String detail) {
        LOG.at(level).log("%d %s: %s", number, text, detail);
    }
}
