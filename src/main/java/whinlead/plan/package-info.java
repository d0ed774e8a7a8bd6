/**
 * What a deployment would do, answered ahead of time: queues of the proxies in front, and a simulation that runs the
 * real engine and decision module.
 *
 * <p>Begin with {@link whinlead.plan.Simulation}. Pure; {@code docs/planner.md}.
 */
package whinlead.plan;
