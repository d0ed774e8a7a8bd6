/**
 * The decision module: which endpoint a request goes to, when it is retried, and when it is refused at once.
 *
 * <p>Begin with {@link whinlead.decide.Decide}, which implements the events of {@link whinlead.Contract}; each rule has
 * a class of its own. The module is pure: no I/O, no clock, no threads; the same events and seed give exactly the same
 * actions.
 */
package whinlead.decide;
