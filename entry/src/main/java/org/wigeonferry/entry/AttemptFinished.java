package org.wigeonferry.entry;

import org.wigeonferry.messages.gen.EndMessage;

/**
 * The answer was received completely.
 *
 * <p>Thread safe as long as the message is not modified.
 *
 * @param end the end frame: length and tokens of the answer, and the load of the upstream
 */
record AttemptFinished(EndMessage end) implements AttemptResult {}
