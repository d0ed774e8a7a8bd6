/**
 * Carries out the decisions of the decision module: owns the accepted requests, their attempts and timers, and
 * guarantees that each request ends exactly once.
 *
 * <p>Begin with {@link whinlead.engine.Engine}. It depends on no protocol and no socket: a front passes in a
 * {@link whinlead.engine.Request} with a {@link whinlead.engine.ResponseSink} and a {@link whinlead.engine.Transport};
 * {@link whinlead.engine.Timers} provides the time. One thread owns an engine.
 */
package whinlead.engine;
