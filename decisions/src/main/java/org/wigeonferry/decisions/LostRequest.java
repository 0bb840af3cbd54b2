package org.wigeonferry.decisions;

/**
 * A request that was in flight when an upstream crashed.
 *
 * <p>Immutable and thread safe.
 *
 * @param digest request digest, of account, target and body
 * @param answerPosition bytes of the answer that had arrived before the crash
 */
public record LostRequest(String digest, long answerPosition) {}
