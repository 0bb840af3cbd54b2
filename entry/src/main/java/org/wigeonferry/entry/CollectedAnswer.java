package org.wigeonferry.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.util.Callback;

/**
 * An answer that is buffered completely before it is delivered.
 *
 * <p>Used by one attempt at a time; read only after the attempt has ended.
 */
final class CollectedAnswer implements AnswerSink {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    @Override
    public void onBytes(byte[] data, Callback callback) {
        bytes.write(data, 0, data.length);
        callback.succeeded();
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
