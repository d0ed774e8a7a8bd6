package whinlead.mesh.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Positive;
import jakarta.validation.constraints.PositiveOrZero;
import java.util.List;
import java.util.Map;

/**
 * A whole configuration as the operator sends it: which places requests may go to and at what terms. Tables are keyed
 * by name; times are in seconds. The constraints are checked at the control nodes ({@link ConfigValidator}).
 *
 * @param epoch its version, eight hexadecimal digits
 * @param tenants null or empty where no key is asked for
 */
public record MeshConfig(
        @JsonProperty("Epoch") @NotNull @Pattern(regexp = "[0-9a-fA-F]{8}")
        String epoch,

        @JsonProperty("Routes") @NotNull Map<String, @NotNull @Valid Route> routes,
        @JsonProperty("Services") @NotNull Map<String, @NotNull @Valid Service> services,
        @JsonProperty("Limits") @NotNull @Valid Limits limits,
        @JsonProperty("Tenants") Map<String, @NotNull @Valid Tenant> tenants) {

    /** What may be done with a request again. */
    public static final String IDEMPOTENT = "idempotent";
    /** At most one run a try. */
    public static final String MUTATING = "mutating";
    /** The same, with a large body. */
    public static final String INGEST = "ingest";

    /**
     * A route: requests of one host below one prefix.
     *
     * @param rank 0 is the highest
     * @param shares services by weight, or null where {@code target} names the one
     * @param tries endpoints to which one try may be sent, at most
     */
    public record Route(
            @JsonProperty("Authority") @NotEmpty String authority,

            @JsonProperty("PathPrefix") @NotNull @Pattern(regexp = "/([^?#\\s]*/)?")
            String pathPrefix,

            @JsonProperty("Kind") @NotNull @Pattern(regexp = "idempotent|mutating|ingest")
            String kind,

            @JsonProperty("DeadlineS") @NotNull @Positive Double deadlineS,
            @JsonProperty("TargetS") @NotNull @Positive Double targetS,
            @JsonProperty("Rank") @PositiveOrZero int rank,
            @JsonProperty("Shares") List<@NotNull @Valid Share> shares,
            @JsonProperty("Target") String target,
            @JsonProperty("Tries") @Positive int tries,
            @JsonProperty("Public") boolean open) {}

    /** A part of a route's requests for one service. */
    public record Share(
            @JsonProperty("Target") @NotEmpty String target,
            @JsonProperty("Weight") @PositiveOrZero double weight) {}

    /**
     * A service.
     *
     * @param maxConns connections that an endpoint of it takes from all callers
     * @param divided whether each endpoint runs the requests of the keys that it was granted only
     */
    public record Service(
            @JsonProperty("Probe") String probe,
            @JsonProperty("MaxConns") @PositiveOrZero int maxConns,
            @JsonProperty("Partitioned") boolean divided) {
        /** One whose endpoints run any request. */
        public Service(String probe, int maxConns) {
            this(probe, maxConns, false);
        }
    }

    /** What clients may send, in bytes, and how long they may take or stay idle, in seconds. */
    public record Limits(
            @JsonProperty("HeaderBytes") @Positive int headerBytes,
            @JsonProperty("BodyBytes") @PositiveOrZero long bodyBytes,
            @JsonProperty("HeaderS") @Positive double headerS,
            @JsonProperty("IdleS") @Positive double idleS) {}

    /** A tenant; a rate of 0 is no limit. */
    public record Tenant(
            @JsonProperty("Credentials") @NotNull List<@NotEmpty String> credentials,
            @JsonProperty("Rank") @PositiveOrZero Integer rank,
            @JsonProperty("RatePerS") @PositiveOrZero double ratePerS,
            @JsonProperty("Burst") @PositiveOrZero double burst) {}

    /** Its version as a number. */
    public long version() {
        return Long.parseLong(epoch, 16);
    }
}
