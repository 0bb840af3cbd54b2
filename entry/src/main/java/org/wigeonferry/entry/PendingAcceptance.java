package org.wigeonferry.entry;

import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.Revision;

/**
 * A commit call that waits until more than half of the availability zones have its revision.
 *
 * <p>Thread safe.
 *
 * @param revision revision that the note was committed as
 * @param result completes once the revision is accepted or the acceptance timeout has passed
 */
record PendingAcceptance(Revision revision, CompletableFuture<CommitResult> result) {}
