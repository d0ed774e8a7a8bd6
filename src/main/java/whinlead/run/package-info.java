/**
 * The program's command line and the wiring of the standalone sidecar: configuration, start, SIGHUP, SIGTERM.
 *
 * <p>Begin with {@link whinlead.run.Main}. May use everything.
 */
package whinlead.run;
