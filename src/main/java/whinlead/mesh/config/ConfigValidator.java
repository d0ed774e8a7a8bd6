package whinlead.mesh.config;

import jakarta.validation.ConstraintViolation;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;

/**
 * Whether a configuration may be taken: each field by its constraints, then what fields say of each other. For any
 * thread; making one loads the validator, some hundred milliseconds on a small core.
 */
public final class ConfigValidator {
    /** A target this much beyond its route's deadline, in seconds, is an error of the operator's. */
    private static final double TARGET_OVER = 60;

    private final Validator validator;

    /** A check. */
    public ConfigValidator() {
        validator = Validation.byDefaultProvider()
                .configure()
                .messageInterpolator(new ParameterMessageInterpolator())
                .buildValidatorFactory()
                .getValidator();
    }

    /**
     * Checks it.
     *
     * @throws InvalidConfigException naming the first field that is wrong
     */
    public void check(MeshConfig meshConfig) throws InvalidConfigException {
        Set<ConstraintViolation<MeshConfig>> wrong = validator.validate(meshConfig);
        if (!wrong.isEmpty()) {
            ConstraintViolation<MeshConfig> first = wrong.stream()
                    .min(Comparator.comparing(v -> v.getPropertyPath().toString()))
                    .orElseThrow();
            throw new InvalidConfigException(first.getPropertyPath() + " " + first.getMessage());
        }
        Map<String, String> places = new HashMap<>();
        for (Map.Entry<String, MeshConfig.Route> e : meshConfig.routes().entrySet()) {
            route(meshConfig, e.getKey(), e.getValue(), places);
        }
        Set<String> keys = new HashSet<>();
        if (meshConfig.tenants() != null) {
            for (Map.Entry<String, MeshConfig.Tenant> e : meshConfig.tenants().entrySet()) {
                for (String key : Set.copyOf(e.getValue().credentials())) {
                    if (!keys.add(key)) {
                        throw new InvalidConfigException(
                                "Tenants." + e.getKey() + ".Credentials holds a key of another tenant");
                    }
                }
            }
        }
    }

    private static void route(MeshConfig meshConfig, String name, MeshConfig.Route route, Map<String, String> places)
            throws InvalidConfigException {
        String at = "Routes." + name;
        String other = places.put(RoutingTable.host(route.authority()) + " " + route.pathPrefix(), name);
        if (other != null) {
            throw new InvalidConfigException(at + ".PathPrefix is that of Routes." + other + " at the same host");
        }
        if (route.targetS() >= route.deadlineS() + TARGET_OVER) {
            throw new InvalidConfigException(at + ".TargetS exceeds DeadlineS by a minute or more");
        }
        boolean shared = route.shares() != null && !route.shares().isEmpty();
        if (shared == (route.target() != null)) {
            throw new InvalidConfigException(at + " needs either Target or Shares");
        }
        List<MeshConfig.Share> shares = shared ? route.shares() : List.of(new MeshConfig.Share(route.target(), 1));
        for (MeshConfig.Share share : shares) {
            if (!meshConfig.services().containsKey(share.target())) {
                throw new InvalidConfigException(at + ".Target names no service: " + share.target());
            }
        }
        if (shares.stream().mapToDouble(MeshConfig.Share::weight).sum() <= 0) {
            throw new InvalidConfigException(at + ".Shares have no weight");
        }
    }
}
