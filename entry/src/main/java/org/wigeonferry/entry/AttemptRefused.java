package org.wigeonferry.entry;

import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.Revision;

/**
 * The attempt was not run and will not be run.
 *
 * <p>Immutable and thread safe.
 *
 * @param refusal why the attempt was not run
 * @param revision configuration revision of the agent that refused; {@link Revision#NONE} if no
 *     agent took the start order
 */
record AttemptRefused(Refusal refusal, Revision revision) implements AttemptResult {}
