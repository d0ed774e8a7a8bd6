/**
 * The planner's command line: reads and checks a description, runs simulations on several threads, and writes text,
 * JSON and HTML.
 *
 * <p>Start with {@link whinlead.plan.tool.PlanCommand}.
 */
package whinlead.plan.tool;
