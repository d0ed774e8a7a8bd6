/**
 * The command line of the program and the assembly of the standalone sidecar: configuration, start, SIGHUP, SIGTERM.
 *
 * <p>Start with {@link whinlead.run.Main}. This package may depend on all others.
 */
package whinlead.run;
