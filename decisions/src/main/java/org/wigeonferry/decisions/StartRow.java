package org.wigeonferry.decisions;

import java.util.Optional;

/**
 * Content of the row that records the start of a call that must not be repeated.
 *
 * <p>Immutable and thread safe.
 *
 * @param digest digest of the call's account, URL path and query, and body
 * @param attemptToken unique token of the attempt that wrote the row
 * @param state progress of the attempt
 * @param result answer of a finished call
 */
public record StartRow(
        String digest, String attemptToken, StartState state, Optional<String> result) {}
