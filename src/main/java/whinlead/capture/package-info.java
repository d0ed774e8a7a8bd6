/**
 * Files of captured load: written while a sidecar serves, read by the planner and by replays.
 *
 * <p>Start with {@link whinlead.capture.Recorder}, which listens to the engine and writes on a separate thread.
 */
package whinlead.capture;
