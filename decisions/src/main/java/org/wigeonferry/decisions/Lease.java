package org.wigeonferry.decisions;

import org.wigeonferry.core_types.NodeId;

/**
 * Content of a row of the table service that records who holds a lease.
 *
 * <p>Immutable and thread safe.
 *
 * @param holder id of the process that holds the lease, including its incarnation
 * @param epoch number that rises when the holder changes
 * @param writeCount number that rises with every write of the row
 */
public record Lease(NodeId holder, long epoch, long writeCount) {}
