/**
 * Carries out what the decision module decides: owns the requests taken, their attempts and timers, and sees to it that
 * each request ends exactly once.
 *
 * <p>Begin with {@link whinlead.engine.Engine}. It knows no protocol and no socket: a front hands in a
 * {@link whinlead.engine.Request} with a {@link whinlead.engine.ResponseSink} and a {@link whinlead.engine.Transport};
 * time comes by {@link whinlead.engine.Timers}. One thread owns an engine.
 */
package whinlead.engine;
