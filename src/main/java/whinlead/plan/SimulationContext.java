package whinlead.plan;

import java.util.Random;

/**
 * Shared state of one simulation.
 *
 * @param workRandom random generator for the work and answer time of requests
 * @param clientRandom random generator for client retries
 */
record SimulationContext(Fleet fleet, Calendar calendar, OutcomeTally tally, Random workRandom, Random clientRandom) {}
