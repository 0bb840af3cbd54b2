package org.wigeonferry.entry;

import org.wigeonferry.messages.gen.EndMessage;

/**
 * The whole answer came.
 *
 * <p>Thread safe as long as nobody alters the message.
 *
 * @param end the end mark
 */
record AttemptFinished(EndMessage end) implements AttemptResult {}
