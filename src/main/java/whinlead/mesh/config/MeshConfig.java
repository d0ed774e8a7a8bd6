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
 * A complete configuration as the operator sends it: where requests may be sent, and under which limits. Tables are
 * keyed by name; times are in seconds. Control nodes check the constraints ({@link ConfigValidator}).
 *
 * @param epoch the configuration's version, eight hexadecimal digits
 * @param tenants null or empty if no key is required
 */
public record MeshConfig(
        @JsonProperty("Epoch") @NotNull @Pattern(regexp = "[0-9a-fA-F]{8}")
        String epoch,

        @JsonProperty("Routes") @NotNull Map<String, @NotNull @Valid Route> routes,
        @JsonProperty("Services") @NotNull Map<String, @NotNull @Valid Service> services,
        @JsonProperty("Limits") @NotNull @Valid Limits limits,
        @JsonProperty("Tenants") Map<String, @NotNull @Valid Tenant> tenants) {

    /** A kind of route: requests may run more than once. */
    public static final String IDEMPOTENT = "idempotent";
    /** Each try runs at most once. */
    public static final String MUTATING = "mutating";
    /** Like {@link #MUTATING}, with a large body. */
    public static final String INGEST = "ingest";

    /**
     * A route: the requests of one host below one path prefix.
     *
     * @param rank 0 is the highest
     * @param shares services by weight, or null if {@code target} names the only one
     * @param tries maximum number of endpoints to which one try may be sent
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

    /** The part of a route's requests that one service gets. */
    public record Share(
            @JsonProperty("Target") @NotEmpty String target,
            @JsonProperty("Weight") @PositiveOrZero double weight) {}

    /**
     * A service.
     *
     * @param maxConns connections that an endpoint of it accepts from all callers
     * @param divided whether each endpoint runs only the requests of the keys that it was granted
     */
    public record Service(
            @JsonProperty("Probe") String probe,
            @JsonProperty("MaxConns") @PositiveOrZero int maxConns,
            @JsonProperty("Partitioned") boolean divided) {
        /** A service whose endpoints run any request. */
        public Service(String probe, int maxConns) {
            this(probe, maxConns, false);
        }
    }

    /** Limits on clients' requests: sizes in bytes, times to send a header or to stay idle in seconds. */
    public record Limits(
            @JsonProperty("HeaderBytes") @Positive int headerBytes,
            @JsonProperty("BodyBytes") @PositiveOrZero long bodyBytes,
            @JsonProperty("HeaderS") @Positive double headerS,
            @JsonProperty("IdleS") @Positive double idleS) {}

    /** A tenant; a rate of 0 means no limit. */
    public record Tenant(
            @JsonProperty("Credentials") @NotNull List<@NotEmpty String> credentials,
            @JsonProperty("Rank") @PositiveOrZero Integer rank,
            @JsonProperty("RatePerS") @PositiveOrZero double ratePerS,
            @JsonProperty("Burst") @PositiveOrZero double burst) {}

    /** The version as a number. */
    public long version() {
        return Long.parseLong(epoch, 16);
    }
}
