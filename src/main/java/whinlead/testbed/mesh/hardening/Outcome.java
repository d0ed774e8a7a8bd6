package whinlead.testbed.mesh.hardening;

import java.util.List;
import java.util.Map;

/**
 * The outcome of a schedule.
 *
 * @param broken violated guarantees; the schedule ends at the first one
 * @param counts counted occurrences
 * @param samples measurements by name, in milliseconds or bytes
 */
public record Outcome(List<String> broken, Map<String, Integer> counts, Map<String, List<Double>> samples) {}
