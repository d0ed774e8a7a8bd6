/**
 * The sidecar, the process on each machine with an endpoint: it accepts the requests that originate there, forwards
 * each to the sidecar beside the endpoint that the decision module chose, and delivers requests of other sidecars to
 * its own endpoint.
 *
 * <p>Begin with {@link whinlead.mesh.sidecar.Sidecar}, which creates the components. A request passes through
 * {@link whinlead.mesh.sidecar.EgressListener}, {@code ServiceBalancer} (engine and decision module of one service),
 * {@link whinlead.mesh.sidecar.RequestForwarder}, {@link whinlead.mesh.sidecar.EndpointGate} and
 * {@link whinlead.mesh.sidecar.EndpointConnections}. All state belongs to one event loop. {@code EndpointGate},
 * {@code RetryBudget}, {@code RequestClasses} and {@code StartupConfig} make decisions and are pure.
 */
package whinlead.mesh.sidecar;
