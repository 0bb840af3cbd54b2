package org.wigeonferry.entry;

import java.util.Optional;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.RowCondition;

/**
 * A note to commit, and on what further condition.
 *
 * <p>Immutable and thread safe.
 *
 * @param note the note
 * @param extraCondition what must hold besides, such as a lease
 */
record CommitRequest(ReleaseNote note, Optional<RowCondition> extraCondition) {}
