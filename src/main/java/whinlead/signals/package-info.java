/** SIGHUP, also where a process was started with the signal ignored. */
package whinlead.signals;
