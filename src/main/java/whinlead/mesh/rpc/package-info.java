/**
 * The HTTP calls of endpoints and operators to a process's control address.
 *
 * <p>Begin with {@link whinlead.mesh.rpc.RpcServer}, which decodes calls into {@link whinlead.mesh.rpc.RpcCall}; roles
 * carry them out. Answers may come from any thread and go out in the order of the calls of their connection.
 */
package whinlead.mesh.rpc;
