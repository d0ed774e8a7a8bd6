/**
 * whinlead: a load-balancing sidecar round one decision module, grown into a service mesh.
 *
 * <p>{@link whinlead.Contract} is the whole interface of the decision module, {@code whinlead.decide};
 * {@link whinlead.SettingsReader} reads its settings. {@code docs/architecture.md} shows the programs and the ways
 * through them.
 */
package whinlead;
