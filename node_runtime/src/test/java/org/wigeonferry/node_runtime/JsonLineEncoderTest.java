package org.wigeonferry.node_runtime;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;
import org.wigeonferry.platform_clients.JsonHttpClient;

class JsonLineEncoderTest {
    private final Logger logger = new LoggerContext().getLogger("call");

    private JsonNode encodeAndParse(LoggingEvent event) {
        String line = new String(new JsonLineEncoder().encode(event), StandardCharsets.UTF_8);
        assertThat(line).endsWith("\n").doesNotContain("\n{");
        return JsonHttpClient.parseJson(line);
    }

    @Test
    void lineIsOneFlatObjectWithTypedFields() {
        LoggingEvent event = new LoggingEvent("x", logger, Level.WARN, "refused", null, null);
        event.setKeyValuePairs(
                List.of(
                        new KeyValuePair("request", "a\"b"),
                        new KeyValuePair("runs", 2),
                        new KeyValuePair("not_run", true)));
        JsonNode line = encodeAndParse(event);
        assertThat(line.path("event").asText()).isEqualTo("refused");
        assertThat(line.path("log").asText()).isEqualTo("call");
        assertThat(line.path("level").asText()).isEqualTo("WARN");
        assertThat(line.path("request").asText()).isEqualTo("a\"b");
        assertThat(line.path("runs").isNumber()).isTrue();
        assertThat(line.path("not_run").isBoolean()).isTrue();
        assertThat(line.path("at_ms").isNumber()).isTrue();
    }

    @Test
    void stackTraceIsAFieldOfTheSameLine() {
        LoggingEvent event =
                new LoggingEvent("x", logger, Level.ERROR, "broken", new Exception("why"), null);
        assertThat(encodeAndParse(event).path("stack").asText()).contains("why");
    }
}
