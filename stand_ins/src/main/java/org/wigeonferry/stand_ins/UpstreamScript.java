package org.wigeonferry.stand_ins;

import java.io.IOException;
import java.net.Socket;

/**
 * Answers one request of a {@link ScriptedUpstream}.
 *
 * <p>Implementations are thread safe; the socket is closed after they return.
 */
@FunctionalInterface
public interface UpstreamScript {
    /** Writes what it likes to the socket. */
    void answer(String head, Socket socket) throws IOException;
}
