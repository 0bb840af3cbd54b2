package org.wigeonferry.stand_ins;

import java.io.IOException;
import java.net.Socket;

/**
 * Answers a request of a {@link PersistentUpstream}.
 *
 * <p>Implementations are thread safe; the next request is read from the socket after they return,
 * unless they close it.
 */
@FunctionalInterface
public interface PersistentUpstreamScript {
    /** Writes what it likes to the socket. */
    void answer(ReceivedRequest request, Socket socket) throws IOException;
}
