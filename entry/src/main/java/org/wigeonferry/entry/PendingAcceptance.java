package org.wigeonferry.entry;

import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.Revision;

/**
 * Somebody waits for a revision to be accepted.
 *
 * <p>Thread safe.
 *
 * @param revision the revision
 * @param result completes once it is accepted, or time is up
 */
record PendingAcceptance(Revision revision, CompletableFuture<CommitResult> result) {}
