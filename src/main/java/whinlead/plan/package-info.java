/**
 * Capacity planning: predicts how a deployment behaves, with queueing models of the fronts and a simulation that runs
 * the real engine and decision module.
 *
 * <p>Start with {@link whinlead.plan.Simulation}. No input or output; see {@code docs/planner.md}.
 */
package whinlead.plan;
