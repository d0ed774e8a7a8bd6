/**
 * The adapter between the simulator's line protocol and the decision module.
 *
 * <p>Start with {@link whinlead.benchlink.Link}. Single-threaded; uses standard input and output.
 */
package whinlead.benchlink;
