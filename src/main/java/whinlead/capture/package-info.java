/**
 * Captured loads as files: written while a sidecar serves, read by the planner and by replays.
 *
 * <p>Begin with {@link whinlead.capture.Recorder}, which listens to the engine and writes on a thread of its own.
 */
package whinlead.capture;
