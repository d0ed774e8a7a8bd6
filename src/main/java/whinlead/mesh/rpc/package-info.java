/**
 * The HTTP calls of endpoints and operators to a process's control address.
 *
 * <p>Start with {@link whinlead.mesh.rpc.RpcServer}, which decodes calls into {@link whinlead.mesh.rpc.RpcCall};
 * control nodes and sidecars run them. Responses may come from any thread and are sent in the order of the calls of
 * their connection.
 */
package whinlead.mesh.rpc;
