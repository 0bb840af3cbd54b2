/**
 * Decides which connections to upstreams are kept open and reused.
 *
 * <p>Inputs: how each exchange on a connection ended, the state of the request, and this router's
 * share of the connections that each upstream accepts. Outputs: the connection that a request uses,
 * and the connections to close. Called by the sender of the router, which holds the connections
 * themselves; nothing here does I/O or reads a clock.
 */
package org.wigeonferry.router.connections;
