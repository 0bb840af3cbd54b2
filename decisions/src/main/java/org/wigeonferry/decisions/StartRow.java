package org.wigeonferry.decisions;

import java.util.Optional;

/**
 * The row that holds the start of a call that may not be repeated.
 *
 * <p>Immutable and thread safe.
 *
 * @param digest digest of the call's account and body
 * @param attemptToken names the attempt that inserted the row; no other attempt has the same
 * @param state how far the attempt came
 * @param result the stored answer of a finished call
 */
public record StartRow(
        String digest, String attemptToken, StartState state, Optional<String> result) {}
