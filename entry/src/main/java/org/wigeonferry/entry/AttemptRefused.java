package org.wigeonferry.entry;

import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.Revision;

/**
 * The attempt was not run and will not be.
 *
 * <p>Immutable and thread safe.
 *
 * @param refusal why
 * @param revision configuration of the agent that refused
 */
record AttemptRefused(Refusal refusal, Revision revision) implements AttemptResult {}
