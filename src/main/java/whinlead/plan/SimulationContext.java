package whinlead.plan;

import java.util.Random;

/**
 * What the parts of one simulation share.
 *
 * @param work draws what requests cost, and how long their answers take
 * @param clients draws how clients retry
 */
record SimulationContext(Fleet fleet, Calendar calendar, OutcomeTally tally, Random work, Random clients) {}
