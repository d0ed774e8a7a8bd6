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
import whinlead.mesh.keys.KeyTerms;

/**
 * Validates a configuration: first the constraints of each field, then those between fields. For any thread; creating
 * one loads the Bean Validation provider, which takes some hundred milliseconds on a small core.
 */
public final class ConfigValidator {
    /** A target that exceeds its route's deadline by this much, in seconds, is a configuration error. */
    private static final double MAX_TARGET_EXCESS_S = 60;

    private final Validator validator;

    /** Creates a validator. */
    public ConfigValidator() {
        validator = Validation.byDefaultProvider()
                .configure()
                .messageInterpolator(new ParameterMessageInterpolator())
                .buildValidatorFactory()
                .getValidator();
    }

    /**
     * Validates a configuration.
     *
     * @throws InvalidConfigException naming the first invalid field
     */
    public void check(MeshConfig meshConfig) throws InvalidConfigException {
        Set<ConstraintViolation<MeshConfig>> violations = validator.validate(meshConfig);
        if (!violations.isEmpty()) {
            ConstraintViolation<MeshConfig> first = violations.stream()
                    .min(Comparator.comparing(
                            violation -> violation.getPropertyPath().toString()))
                    .orElseThrow();
            throw new InvalidConfigException(first.getPropertyPath() + " " + first.getMessage());
        }
        checkSharding(meshConfig);
        Map<String, String> routesByPrefix = new HashMap<>();
        for (Map.Entry<String, MeshConfig.Route> entry : meshConfig.routes().entrySet()) {
            checkRoute(meshConfig, entry.getKey(), entry.getValue(), routesByPrefix);
        }
        Set<String> keys = new HashSet<>();
        if (meshConfig.tenants() != null) {
            for (Map.Entry<String, MeshConfig.Tenant> entry :
                    meshConfig.tenants().entrySet()) {
                for (String key : Set.copyOf(entry.getValue().credentials())) {
                    if (!keys.add(key)) {
                        throw new InvalidConfigException(
                                "Tenants." + entry.getKey() + ".Credentials holds a key of another tenant");
                    }
                }
            }
        }
    }

    // Keys are granted for a limited number of services; further ones would never be served.
    private static void checkSharding(MeshConfig meshConfig) throws InvalidConfigException {
        long sharded = meshConfig.services().values().stream()
                .filter(MeshConfig.Service::divided)
                .count();
        if (sharded > KeyTerms.MAX_SERVICES) {
            throw new InvalidConfigException(
                    "Services has " + sharded + " with Partitioned, at most " + KeyTerms.MAX_SERVICES + " may have it");
        }
    }

    private static void checkRoute(
            MeshConfig meshConfig, String name, MeshConfig.Route route, Map<String, String> routesByPrefix)
            throws InvalidConfigException {
        String field = "Routes." + name;
        String other = routesByPrefix.put(RoutingTable.host(route.authority()) + " " + route.pathPrefix(), name);
        if (other != null) {
            throw new InvalidConfigException(field + ".PathPrefix is that of Routes." + other + " at the same host");
        }
        if (route.targetS() >= route.deadlineS() + MAX_TARGET_EXCESS_S) {
            throw new InvalidConfigException(field + ".TargetS exceeds DeadlineS by a minute or more");
        }
        boolean hasShares = route.shares() != null && !route.shares().isEmpty();
        if (hasShares == (route.target() != null)) {
            throw new InvalidConfigException(field + " needs either Target or Shares");
        }
        List<MeshConfig.Share> shares = hasShares ? route.shares() : List.of(new MeshConfig.Share(route.target(), 1));
        for (MeshConfig.Share share : shares) {
            if (!meshConfig.services().containsKey(share.target())) {
                throw new InvalidConfigException(field + ".Target names no service: " + share.target());
            }
        }
        if (shares.stream().mapToDouble(MeshConfig.Share::weight).sum() <= 0) {
            throw new InvalidConfigException(field + ".Shares have no weight");
        }
    }
}
