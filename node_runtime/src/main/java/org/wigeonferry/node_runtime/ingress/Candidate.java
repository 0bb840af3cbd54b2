package org.wigeonferry.node_runtime.ingress;

/**
 * A connection with its progress at the time of a choice.
 *
 * <p>Immutable and thread safe.
 */
record Candidate<T>(T connection, ConnectionProgress progress) {}
