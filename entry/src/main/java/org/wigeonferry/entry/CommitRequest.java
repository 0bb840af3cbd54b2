package org.wigeonferry.entry;

import java.util.Optional;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.RowCondition;

/**
 * A release note to commit, with an optional extra condition of the transaction.
 *
 * <p>Immutable and thread safe.
 *
 * @param note the release note
 * @param extraCondition row condition that the commit also requires, such as a lease that is still
 *     held
 */
record CommitRequest(ReleaseNote note, Optional<RowCondition> extraCondition) {}
