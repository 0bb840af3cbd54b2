package org.wigeonferry.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.util.Callback;

/**
 * An answer held whole before it is delivered.
 *
 * <p>Used by one attempt at a time; read after the attempt's end.
 */
final class CollectedAnswer implements AnswerSink {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    @Override
    public void onBytes(byte[] data, Callback taken) {
        bytes.write(data, 0, data.length);
        taken.succeeded();
    }

    @Override
    public long offset() {
        return bytes.size();
    }

    @Override
    public boolean callerDisconnected() {
        return false;
    }

    String text() {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    byte[] bytes() {
        return bytes.toByteArray();
    }
}
