/**
 * The planner's command line: reads and checks a description, runs seeds on threads, writes text, JSON and a page.
 *
 * <p>Begin with {@link whinlead.plan.tool.PlanCommand}.
 */
package whinlead.plan.tool;
