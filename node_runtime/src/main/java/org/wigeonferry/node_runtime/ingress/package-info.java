/**
 * Protects the ports of a process against abusive and slow callers.
 *
 * <p>Inputs: bytes, header fields and requests as connections receive and send them. Outputs: which
 * of them are refused, and which connections are closed. The decisions ({@link
 * org.wigeonferry.node_runtime.ingress.ByteBudget}, {@link
 * org.wigeonferry.node_runtime.ingress.LeastRates}, {@link
 * org.wigeonferry.node_runtime.ingress.SlowestChoice}, {@link
 * org.wigeonferry.node_runtime.ingress.HeadLimits}) know neither Jetty nor a clock. Callers: the
 * servers of routers, entries and agents.
 */
package org.wigeonferry.node_runtime.ingress;
