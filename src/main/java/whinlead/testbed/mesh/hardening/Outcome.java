package whinlead.testbed.mesh.hardening;

import java.util.List;
import java.util.Map;

/**
 * What a schedule came to.
 *
 * @param broken promises that were broken; the schedule ends at the first
 * @param counts how often something came up
 * @param samples times in milliseconds, or bytes, by what was measured
 */
public record Outcome(List<String> broken, Map<String, Integer> counts, Map<String, List<Double>> samples) {}
