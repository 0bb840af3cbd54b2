package org.wigeonferry.command_line.ingress;

import java.io.IOException;
import java.io.OutputStream;

/** What a caller sends on its connection. */
@FunctionalInterface
interface CallerScript {
    void send(OutputStream out) throws IOException;
}
