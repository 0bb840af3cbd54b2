package org.wigeonferry.decisions;

import org.wigeonferry.core_types.NodeId;

/**
 * Content of a lease row.
 *
 * <p>Immutable and thread safe.
 *
 * @param holder the life of a process that holds the lease
 * @param epoch rises when the holder changes
 * @param writeCount rises with every renewal
 */
public record Lease(NodeId holder, long epoch, long writeCount) {}
