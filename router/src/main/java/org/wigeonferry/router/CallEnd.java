package org.wigeonferry.router;

import java.util.List;
import java.util.Optional;

/**
 * What a call had under way when it ended.
 *
 * <p>Immutable and thread safe.
 *
 * @param openSends sends that have not ended
 * @param streaming whether events have been sent to the caller
 * @param lastServerError the last complete response that counts as a failure of its upstream
 */
record CallEnd(
        List<RoutedSend> openSends, boolean streaming, Optional<CompleteResponse> lastServerError) {
    CallEnd {
        openSends = List.copyOf(openSends);
    }
}
