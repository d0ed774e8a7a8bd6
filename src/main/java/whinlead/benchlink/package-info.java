/**
 * The adapter between the simulator's line protocol and the decision module.
 *
 * <p>Begin with {@link whinlead.benchlink.Link}. One thread; standard input and output.
 */
package whinlead.benchlink;
