package org.wigeonferry.command_line.ingress;

import java.io.IOException;
import java.net.Socket;

/** What a caller does on its connection after it has sent its bytes. */
@FunctionalInterface
interface CallerEnd {
    void run(Socket socket) throws IOException;
}
