package org.wigeonferry.node_runtime;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * Writes a log event as one flat JSON object on a line: {@code at_ms}, {@code level}, {@code log},
 * {@code event}, the event's own fields, and {@code stack} if there is an exception. {@code log} is
 * the name of the logger and {@code event} the message.
 *
 * <p>Not thread safe; an appender calls it from one thread at a time.
 */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] NO_BYTES = {};

    @Override
    public byte[] headerBytes() {
        return NO_BYTES;
    }

    @Override
    public byte[] footerBytes() {
        return NO_BYTES;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(line)) {
            write(event, json);
        } catch (IOException e) {
            addError("log event can't be written", e);
            return (event.getFormattedMessage() + '\n').getBytes(StandardCharsets.UTF_8);
        }
        line.write('\n');
        return line.toByteArray();
    }

    private static void write(ILoggingEvent event, JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeNumberField("at_ms", event.getTimeStamp());
        json.writeStringField("level", event.getLevel().toString());
        json.writeStringField("log", event.getLoggerName());
        json.writeStringField("event", event.getFormattedMessage());
        List<KeyValuePair> fields = event.getKeyValuePairs();
        if (fields != null) {
            for (KeyValuePair field : fields) {
                write(field, json);
            }
        }
        if (event.getThrowableProxy() != null) {
            json.writeStringField("stack", ThrowableProxyUtil.asString(event.getThrowableProxy()));
        }
        json.writeEndObject();
    }

    private static void write(KeyValuePair field, JsonGenerator json) throws IOException {
        if (field.value instanceof Long || field.value instanceof Integer) {
            json.writeNumberField(field.key, ((Number) field.value).longValue());
        } else if (field.value instanceof Boolean) {
            json.writeBooleanField(field.key, (Boolean) field.value);
        } else {
            json.writeStringField(field.key, String.valueOf(field.value));
        }
    }
}
