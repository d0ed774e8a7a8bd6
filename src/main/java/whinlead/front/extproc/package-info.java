/**
 * Envoy's external processing over gRPC.
 *
 * <p>Begin with {@link whinlead.front.extproc.ExtProcServer}.
 */
package whinlead.front.extproc;
