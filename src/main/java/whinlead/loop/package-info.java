/** Netty's event loop as the engine's timers. */
package whinlead.loop;
