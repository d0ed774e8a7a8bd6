/**
 * whinlead: a load-balancing sidecar built around one decision module, and a service mesh that is based on it.
 *
 * <p>{@link whinlead.Contract} is the whole interface of the decision module, {@code whinlead.decide};
 * {@link whinlead.SettingsReader} reads its settings. {@code docs/architecture.md} describes the programs and the paths
 * of requests through them.
 */
package whinlead;
