/** Handling of SIGHUP, also in a process that was started with the signal ignored. */
package whinlead.signals;
